// Case 12: a node is stopped as planned while it delivers downloads, and the configuration changes 2.65 s
// after the signal. The callers then send one more request each on the connections that they have kept.
//
// The rule is broken if the node ends such a request before its deadline and the timeout of its route, while
// its upstream is at work. All of them are sent later than 3 s after the signal, so an upstream that is still
// at work near the end of the grace period is no excuse. A refusal that says "not run" keeps the rule, if the
// request never runs.

#include "fleet.h"
#include "record.h"
#include "store.h"

#include <array>
#include <csignal>
#include <map>

namespace {

using namespace rig;

constexpr int callers = 4;
constexpr int deadlineMs = 10000;
constexpr std::size_t downloadBytes = 3'000'000;
constexpr int downloadMs = 5600;
constexpr int downloadParts = 100;
constexpr int workMs = 2500;
constexpr int beforeSignalMs = 2000;
constexpr int beforeChangeMs = 2650;
constexpr double earliestRequest = 3.05;
constexpr double latestRequest = 4.5;
constexpr int notRun = 503;
constexpr int success = 200;
constexpr int exitNotPlayed = 2;

// What was seen of the second request of one caller.
struct Observation {
    double sentAt = 0;
    double answeredAt = 0;
    int status = 0;
    bool complete = false;
};

class Case {
public:
    explicit Case(const std::string& recordPath)
        : m_record(recordPath)
        , m_ports(findFreePorts())
        , m_store({ "127.0.0.1", m_ports })
        , m_first(m_folder.path(), "127.0.0.2", m_ports, "a", "export", storeAddress())
        , m_second(m_folder.path(), "127.0.0.3", m_ports, "b", "intake", storeAddress())
        , m_export(m_first.targetAddress(),
              [this](Connection& connection, const MessageHead& head) { return download(connection, head); })
        , m_intake(m_second.targetAddress(),
              [this](Connection& connection, const MessageHead& head) { return enroll(connection, head); })
    {
    }

    int run()
    {
        m_store.put("op/config", configuration(1, "export", "intake"));
        m_store.putUpstream("i-export", { m_first.targetAddress(), "export", "a", 5, 1'000 });
        m_store.putUpstream("i-intake", { m_second.targetAddress(), "intake", "b", 5, 1'000 });
        if (!m_first.start() || !m_second.start() || !m_first.awaitReady() || !m_second.awaitReady())
            return notPlayed("the nodes did not become ready");
        std::array<Observation, callers> observations;
        std::vector<std::thread> threads;
        for (int i = 0; i < callers; ++i)
            threads.emplace_back(
                [this, i, &observations] { call(i, observations[static_cast<std::size_t>(i)]); });
        sleepMs(beforeSignalMs);
        m_signalledAt = m_record.now();
        if (hasTrouble()) {
            m_record.write("SIGTERM to the node at 127.0.0.2");
            m_first.send(SIGTERM);
        }
        sleepMs(beforeChangeMs);
        if (hasTrouble()) {
            m_record.write("configuration 2 is written");
            m_store.put("op/config", configuration(2, "export", "intake"));
        }
        for (auto& thread : threads)
            thread.join();
        return judge(observations);
    }

private:
    [[nodiscard]] Address storeAddress() const { return { "127.0.0.1", m_ports }; }

    int notPlayed(const std::string& reason)
    {
        m_record.write("the case could not be played: " + reason);
        return exitNotPlayed;
    }

    // Sends a download at a steady pace.
    bool download(Connection& connection, const MessageHead& head)
    {
        const auto id = head.field("x-tarragonhaven-request-id");
        const auto bytes = response("i-export", id, std::string(downloadBytes, 'd'));
        m_record.write("upstream i-export runs " + id);
        for (int part = 0; part < downloadParts; ++part) {
            const auto begin = bytes.size() * static_cast<std::size_t>(part) / downloadParts;
            const auto end = bytes.size() * static_cast<std::size_t>(part + 1) / downloadParts;
            if (!connection.write(bytes.substr(begin, end - begin)))
                return false;
            sleepMs(downloadMs / downloadParts);
        }
        return true;
    }

    bool enroll(Connection& connection, const MessageHead& head)
    {
        const auto id = head.field("x-tarragonhaven-request-id");
        if (!connection.readBody(head))
            return false;
        m_record.write("upstream i-intake runs " + id);
        {
            const std::lock_guard lock(m_mutex);
            ++m_runs[id];
        }
        sleepMs(workMs);
        m_record.write("upstream i-intake has done " + id);
        return connection.write(response("i-intake", id, "enrolled"));
    }

    void call(int number, Observation& seen)
    {
        Connection connection(Connection::connectTo(m_first.callerAddress()));
        const auto list = "list-" + std::to_string(number);
        connection.write(request("GET", "/load-export/" + list, list, loadTimeoutMs, 0));
        const auto head = connection.readHead();
        if (!head || !connection.readBody(*head))
            return m_record.write(list + ": no complete download");
        m_record.write(list + ": complete, Connection: \"" + head->field("connection") + "\"");
        const auto id = "enroll-" + std::to_string(number);
        seen.sentAt = m_record.now();
        connection.write(request("POST", "/once-intake/" + id, id, deadlineMs, 100));
        m_record.write(id + ": sent on the same connection");
        const auto answer = connection.readHead();
        seen.status = answer ? statusOf(*answer) : 0;
        seen.complete = answer && connection.readBody(*answer);
        seen.answeredAt = m_record.now();
        m_record.write(id + ": " + (seen.complete ? "answered " + answer->startLine : "no complete answer"));
    }

    int judge(const std::array<Observation, callers>& observations)
    {
        bool broken = false;
        for (int i = 0; i < callers; ++i) {
            const auto& seen = observations[static_cast<std::size_t>(i)];
            const auto id = "enroll-" + std::to_string(i);
            const double sent = seen.sentAt - m_signalledAt;
            if (hasTrouble() && (sent < earliestRequest || sent > latestRequest))
                return notPlayed(id + " was sent at another time");
            const bool ran = m_runs[id] > 0;
            const bool kept = seen.complete && (seen.status == success || (seen.status == notRun && !ran));
            const bool early = seen.answeredAt - seen.sentAt < onceTimeoutMs / 1000.0;
            m_record.write(id + (kept ? ": kept" : ": LOST is broken, unless its time was over"));
            broken = broken || (!kept && early);
        }
        return broken ? 1 : 0;
    }

    TemporaryFolder m_folder;
    Record m_record;
    std::uint16_t m_ports;
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    double m_signalledAt = 0;
    Store m_store;
    Node m_first;
    Node m_second;
    Server m_export;
    Server m_intake;
};

} // namespace

int main(int argumentCount, char** arguments)
{
    return argumentCount == 2 ? Case(arguments[1]).run() : exitNotPlayed;
}
