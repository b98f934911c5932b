#pragma once

#include "tarragonhaven/endpoint.h"
#include "tarragonhaven/names.h"
#include "tarragonhaven/request_fingerprint.h"
#include "util/time.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <vector>

namespace tarragonhaven {

// Finds out whether a target has crashed when connections to it are lost while it runs requests. A target has
// crashed if none of its connections is open any more, and a new one is refused or closed at once; this is
// tried up to twice within 200 ms. A target that is started again within 20 ms, or whose host does not
// answer, is not seen to have crashed. Not thread-safe: runs on the thread of `io`.
class CrashDetector {
public:
    using Handler = std::function<void(const TargetName&, const std::vector<RequestFingerprint>&)>;

    // A target as it was when a connection was lost.
    struct Observed {
        TargetName name;
        Endpoint address;
        // Returns whether any connection to the target is open.
        std::function<bool()> hasOpenConnection;
    };

    // `onCrash` receives the requests that the target was running when it crashed.
    CrashDetector(boost::asio::io_context& io, Handler onCrash);
    ~CrashDetector();
    CrashDetector(const CrashDetector&) = delete;
    CrashDetector& operator=(const CrashDetector&) = delete;

    // Records that the connection of a request was lost after the request was sent.
    void recordConnectionLost(const Observed& target, RequestFingerprint fingerprint);

private:
    class Rep;
    std::shared_ptr<Rep> m_rep;
};

} // namespace tarragonhaven
