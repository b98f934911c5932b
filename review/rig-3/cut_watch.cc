// Case 15: the store cuts the watches that are waiting, as it may, and answers all calls from then on. 0.1 s
// later the entry of an upstream is removed, which leaves as planned without having reported that it is
// draining, and which serves on for 2.5 s.
//
// The rule is broken if requests reach it later than drain_ms after the removal. Three such requests are
// needed, so that one which was on its way does not count.

#include "fleet.h"
#include "record.h"
#include "store.h"

#include <atomic>
#include <memory>
#include <set>

namespace {

using namespace rig;

constexpr int nodes = 4;
constexpr int callers = 12;
constexpr int deadlineMs = 5000;
constexpr int workMs = 200;
constexpr int beforeLeavingMs = 6000;
constexpr int watchChecks = 2000;
constexpr int watchCheckMs = 5;
constexpr int cutBeforeLeavingMs = 100;
constexpr int servesOnMs = 2500;
constexpr int afterEndMs = 2000;
constexpr double drainSeconds = 2;
constexpr std::size_t tolerated = 2;
constexpr int success = 200;
constexpr int exitNotPlayed = 2;
constexpr const char* leavingId = "i-leaving";

class Case {
public:
    explicit Case(const std::string& recordPath)
        : m_record(recordPath)
        , m_ports(findFreePorts())
        , m_store({ "127.0.0.1", m_ports })
        , m_entry(m_folder.path(), "127.0.0.2", m_ports, "a", "web", { "127.0.0.1", m_ports })
        , m_first(m_folder.path(), "127.0.0.3", m_ports, "b", "intake", { "127.0.0.1", m_ports })
        , m_second(m_folder.path(), "127.0.0.4", m_ports, "c", "intake", { "127.0.0.1", m_ports })
        , m_third(m_folder.path(), "127.0.0.5", m_ports, "a", "intake", { "127.0.0.1", m_ports })
        , m_staying(m_second.targetAddress(), handlerOf("i-staying"))
        , m_other(m_third.targetAddress(), handlerOf("i-other"))
        , m_leaving(std::make_unique<Server>(m_first.targetAddress(), handlerOf(leavingId)))
    {
    }

    int run()
    {
        m_store.put("op/config", configuration(1, "web", "intake"));
        m_store.putUpstream("i-web", { m_entry.targetAddress(), "web", "a", 5, timeOfDayMs() });
        m_store.putUpstream("i-staying", { m_second.targetAddress(), "intake", "c", 5, timeOfDayMs() });
        m_store.putUpstream("i-other", { m_third.targetAddress(), "intake", "a", 5, timeOfDayMs() });
        if (!m_entry.start() || !m_first.start() || !m_second.start() || !m_third.start())
            return notPlayed("the nodes did not start");
        if (!m_entry.awaitReady() || !m_first.awaitReady() || !m_second.awaitReady() || !m_third.awaitReady())
            return notPlayed("the nodes did not become ready");
        m_store.putUpstream(leavingId, { m_first.targetAddress(), "intake", "b", 5, timeOfDayMs() });
        std::vector<std::thread> threads;
        for (int i = 0; i < callers; ++i)
            threads.emplace_back([this, i] { call(i); });
        sleepMs(beforeLeavingMs);
        const bool waiting = awaitWatches();
        const auto acknowledgedAt = leave();
        sleepMs(servesOnMs);
        m_leaving.reset();
        m_record.write("upstream i-leaving has ended");
        sleepMs(afterEndMs);
        m_ended = true;
        for (auto& thread : threads)
            thread.join();
        return waiting ? judge(acknowledgedAt)
                       : notPlayed("the watches of the nodes did not wait at the same time");
    }

private:
    static std::int64_t timeOfDayMs()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    }

    int notPlayed(const std::string& reason)
    {
        m_record.write("the case could not be played: " + reason);
        return exitNotPlayed;
    }

    Server::Handler handlerOf(const std::string& upstream)
    {
        return [this, upstream](Connection& connection, const MessageHead& head) {
            const auto id = head.field("x-tarragonhaven-request-id");
            if (!connection.readBody(head))
                return false;
            m_record.write("upstream " + upstream + " runs " + id);
            if (upstream == leavingId) {
                const std::lock_guard lock(m_mutex);
                m_runs.emplace_back(m_record.now(), id);
            }
            sleepMs(workMs);
            return connection.write(response(upstream, id, "enrolled"));
        };
    }

    // Waits until the watches of all nodes are waiting, so that none has a response under way.
    bool awaitWatches()
    {
        for (int i = 0; i < watchChecks; ++i) {
            if (m_store.waitingWatches() == nodes)
                return true;
            sleepMs(watchCheckMs);
        }
        return false;
    }

    // Returns when the store acknowledged that the upstream is gone.
    double leave()
    {
        if (hasTrouble()) {
            m_store.cutWatches();
            m_record.write("the store cuts the watches that are waiting");
        }
        sleepMs(cutBeforeLeavingMs);
        m_store.removeUpstream(leavingId);
        m_record.write("the store has removed the entry of i-leaving, which serves on");
        return m_record.now();
    }

    void call(int number)
    {
        for (int i = 0; !m_ended; ++i) {
            const auto id = "enroll-" + std::to_string(number) + "-" + std::to_string(i);
            Connection connection(Connection::connectTo(m_entry.callerAddress()));
            connection.write(request("POST", "/once-intake/" + id, id, deadlineMs, 100));
            const auto answer = connection.readHead();
            const bool complete = answer && connection.readBody(*answer);
            m_record.write(id + ": " + (complete ? "answered " + answer->startLine : "no complete answer"));
            const std::lock_guard lock(m_mutex);
            if (!complete || statusOf(*answer) != success)
                m_failed.insert(id);
        }
    }

    int judge(double acknowledgedAt)
    {
        std::size_t late = 0;
        std::size_t lost = 0;
        for (const auto& [at, id] : m_runs) {
            if (at <= acknowledgedAt + drainSeconds)
                continue;
            ++late;
            lost += m_failed.contains(id) ? 1 : 0;
        }
        const bool broken = late > tolerated;
        m_record.write(std::to_string(late)
            + " requests ran at i-leaving later than drain_ms after the removal, " + std::to_string(lost)
            + " of them were not answered with success: DRAIN is " + (broken ? "broken" : "kept"));
        return m_runs.empty() ? notPlayed("no request reached i-leaving") : broken ? 1 : 0;
    }

    TemporaryFolder m_folder;
    Record m_record;
    std::uint16_t m_ports;
    std::mutex m_mutex;
    // When requests ran at the leaving upstream, and their ids.
    std::vector<std::pair<double, std::string>> m_runs;
    std::set<std::string> m_failed;
    std::atomic<bool> m_ended { false };
    Store m_store;
    Node m_entry;
    Node m_first;
    Node m_second;
    Node m_third;
    Server m_staying;
    Server m_other;
    std::unique_ptr<Server> m_leaving;
};

} // namespace

int main(int argumentCount, char** arguments)
{
    return argumentCount == 2 ? Case(arguments[1]).run() : exitNotPlayed;
}
