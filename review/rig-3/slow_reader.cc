// Case 13: a node is stopped as planned half a second after it has taken an upload of 600,000 bytes. The
// upstream begins to work when the head of the request has arrived, and reads the rest of the body after 3.8
// s. It is there all the while.
//
// The rule is broken if the node ends the request itself, before its deadline and the timeout of its route,
// while the upstream is at work. The upstream would be done 3.5 s after the signal, long before the last
// sixth of the grace period.

#include "fleet.h"
#include "record.h"
#include "store.h"

#include <atomic>
#include <csignal>

namespace {

using namespace rig;

constexpr int deadlineMs = 10000;
constexpr std::size_t uploadBytes = 600'000;
constexpr int workMs = 3800;
constexpr int beforeSignalMs = 500;
constexpr int success = 200;
constexpr int exitNotPlayed = 2;

class Case {
public:
    explicit Case(const std::string& recordPath)
        : m_record(recordPath)
        , m_ports(findFreePorts())
        , m_store({ "127.0.0.1", m_ports })
        , m_first(m_folder.path(), "127.0.0.2", m_ports, "a", "web", { "127.0.0.1", m_ports })
        , m_second(m_folder.path(), "127.0.0.3", m_ports, "b", "intake", { "127.0.0.1", m_ports })
        , m_intake(m_second.targetAddress(),
              [this](Connection& connection, const MessageHead& head) { return enroll(connection, head); })
    {
    }

    int run()
    {
        m_store.put("op/config", configuration(1, "web", "intake"));
        m_store.putUpstream("i-intake", { m_second.targetAddress(), "intake", "b", 5, 1'000 });
        m_store.putUpstream("i-web", { m_first.targetAddress(), "web", "a", 5, 1'000 });
        if (!m_first.start() || !m_second.start() || !m_first.awaitReady() || !m_second.awaitReady()) {
            m_record.write("the case could not be played: the nodes did not become ready");
            return exitNotPlayed;
        }
        std::thread caller([this] { call(); });
        sleepMs(beforeSignalMs);
        if (hasTrouble()) {
            m_record.write("SIGTERM to the node at 127.0.0.2");
            m_first.send(SIGTERM);
        }
        caller.join();
        return judge();
    }

private:
    bool enroll(Connection& connection, const MessageHead& head)
    {
        const auto id = head.field("x-tarragonhaven-request-id");
        m_record.write("upstream i-intake begins to work on " + id);
        m_began = true;
        sleepMs(workMs);
        m_record.write("upstream i-intake reads the rest of " + id);
        if (!connection.readBody(head)) {
            m_record.write("upstream i-intake: the body of " + id + " is cut off");
            return false;
        }
        m_record.write("upstream i-intake has done " + id);
        return connection.write(response("i-intake", id, "enrolled"));
    }

    void call()
    {
        Connection connection(Connection::connectTo(m_first.callerAddress()));
        const auto sentAt = m_record.now();
        m_record.write("enroll-1: sent, " + std::to_string(uploadBytes) + " bytes");
        connection.write(request("POST", "/once-intake/enroll-1", "enroll-1", deadlineMs, uploadBytes));
        const auto answer = connection.readHead();
        const auto body = answer ? connection.readBody(*answer) : std::nullopt;
        m_answeredAfter = m_record.now() - sentAt;
        m_status = body ? statusOf(*answer) : 0;
        m_record.write(
            "enroll-1: " + (body ? "answered " + answer->startLine + " " + *body : "no complete answer"));
    }

    int judge()
    {
        if (!m_began) {
            m_record.write("the case could not be played: no upstream began to work");
            return exitNotPlayed;
        }
        if (!hasTrouble()) {
            m_record.write("LOST is not judged: there was no planned stop");
            return 0;
        }
        const bool broken = m_status != success && m_answeredAfter < onceTimeoutMs / 1000.0;
        m_record.write(broken ? "LOST is broken: the node ended a request at which its upstream was at work"
                              : "LOST is kept");
        return broken ? 1 : 0;
    }

    TemporaryFolder m_folder;
    Record m_record;
    std::uint16_t m_ports;
    std::atomic<bool> m_began { false };
    int m_status = 0;
    double m_answeredAfter = 0;
    Store m_store;
    Node m_first;
    Node m_second;
    Server m_intake;
};

} // namespace

int main(int argumentCount, char** arguments)
{
    return argumentCount == 2 ? Case(arguments[1]).run() : exitNotPlayed;
}
