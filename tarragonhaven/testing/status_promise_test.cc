// Statuses by which callers take it that a request did not run, in responses of targets that ran it, over
// sockets.

#include "tarragonhaven/testing/entry_node.h"
#include "tarragonhaven/testing/http_caller.h"
#include "tarragonhaven/testing/local_fleet.h"
#include "tarragonhaven/testing/scripted_target.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/executor_work_guard.hpp>
#include <catch2/catch.hpp>
#include <thread>

namespace tarragonhaven::testing {

namespace {

    // A node whose target runs each request and responds with a status and a body, without the field that
    // reports "not run".
    class RefusingTarget {
    public:
        RefusingTarget(int status, const std::string& body, bool strict)
            : m_work(m_io.get_executor())
            , m_target(m_io, "127.0.0.1", entryNodeHeaderNames().requestId,
                  [status, body](const ScriptedRequest& request) {
                      return ScriptedAnswer { absl::StrCat("HTTP/1.1 ", status, " Failed\r\n",
                          entryNodeHeaderNames().requestId, ": ", request.id,
                          "\r\nSignature: s\r\nContent-Length: ", body.size(), "\r\n\r\n", body) };
                  })
            , m_thread([this] { m_io.run(); })
            , m_node(nodeOptions(strict), { { "t1", m_target.address() } })
        {
        }
        ~RefusingTarget()
        {
            m_io.stop();
            m_thread.join();
        }
        RefusingTarget(const RefusingTarget&) = delete;
        RefusingTarget& operator=(const RefusingTarget&) = delete;

        CallerResponse send(const std::string& method)
        {
            HttpCaller caller(m_node.callerAddress(), std::chrono::seconds(5));
            const auto response = caller.send({ method, method == "GET" ? "/status/1" : "/notes",
                { { "X-Api-Key", testKey("harbour") }, { entryNodeHeaderNames().requestId, "r1" } }, "" });
            return response.value_or(CallerResponse {});
        }

    private:
        static EntryNodeOptions nodeOptions(bool strict)
        {
            EntryNodeOptions options;
            options.idempotentPosts = false;
            options.strictRefusals = strict;
            return options;
        }

        boost::asio::io_context m_io;
        boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
        ScriptedTarget m_target;
        std::thread m_thread;
        EntryNode m_node;
    };

} // namespace

// Guards against a caller that sends a request again which has run, because it gets the target's own status
// as the promise that it has not.
TEST_CASE("a status that promises \"not run\" is not passed on from a target that may have run it", "[net]")
{
    for (const int status : { 408, 421, 429, 503 }) {
        for (const std::string body : { "", "failed" }) {
            CAPTURE(status, body);
            RefusingTarget target(status, body, true);
            const auto response = target.send("POST");
            CHECK(response.status == 502);
            CHECK(response.field("Tarragonhaven-Run") == "unknown");
            CHECK(response.field("Retry-After").empty());
            // A caller may repeat an idempotent request in any case.
            CHECK(target.send("GET").status == status);
            CHECK(target.send("GET").body == body);
        }
    }
}

TEST_CASE("other statuses of targets are passed on unchanged", "[net]")
{
    for (const int status : { 400, 404, 409, 500, 502, 504 }) {
        CAPTURE(status);
        RefusingTarget target(status, "failed", true);
        CHECK(target.send("POST").status == status);
        CHECK(target.send("POST").body == "failed");
    }
    // In these fleets the status states nothing of whether the request ran.
    RefusingTarget target(503, "failed", false);
    CHECK(target.send("POST").status == 503);
}

} // namespace tarragonhaven::testing
