// Quota messages that reach a node before its declarations, without open sockets.

#include "tarragonhaven/quota_admission.h"

#include <catch2/catch.hpp>

using namespace tarragonhaven;

TEST_CASE("a node without declarations accepts quota queries, reports and remote usage")
{
    boost::asio::io_context io;
    LogChannel log("i1", LogLevel::Error);
    DatagramSocket socket(io, "test", { "i1" }, 1);
    QuotaAdmission admission({ io, socket, log, { "i1" }, {} });
    const Endpoint other { "127.0.0.1", 1 };
    for (const int kind : { -1, 0, 1, 2 }) {
        admission.receive(other, QuotaQueryMessage { kind, { "harbour" } });
        admission.receive(other, { "i2" }, QuotaReportMessage { kind, { { "harbour", 900, 900, false } } });
        admission.receive({ "i2" }, RemoteQuotaUsageMessage { kind, { { "harbour", 900, 900, 0 } } });
    }
    admission.tick();
    CHECK(admission.waitingRequests() == 0);
}
