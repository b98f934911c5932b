// Case 11: one upstream of three spoils one answer in twenty for 5.5 s, all of them at the same place. It
// sends the body in chunks, and the value of Transfer-Encoding has a wrong byte or names the coding twice.
// Then it closes the connection.
//
// The rule is broken if a caller gets such an answer as a success whose body is not that of the upstream.

#include "fleet.h"
#include "record.h"
#include "store.h"

#include <atomic>

namespace {

using namespace rig;

constexpr int callers = 6;
constexpr int deadlineMs = 4000;
constexpr int workMs = 50;
constexpr int troubleFromMs = 2000;
constexpr int troubleMs = 5500;
constexpr int afterTroubleMs = 2000;
constexpr int answersPerSpoiltOne = 20;
constexpr int success = 200;
constexpr int exitNotPlayed = 2;
constexpr const char* body = "enrolled: one child, one lunch";
constexpr const char* bodyInChunks = "1e\r\nenrolled: one child, one lunch\r\n0\r\n\r\n";

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
        , m_faulty(m_first.targetAddress(),
              [this](Connection& connection, const MessageHead& head) {
                  return answer(connection, head, "i-faulty");
              })
        , m_sound(m_second.targetAddress(),
              [this](Connection& connection, const MessageHead& head) {
                  return answer(connection, head, "i-sound");
              })
        , m_other(m_third.targetAddress(), [this](Connection& connection, const MessageHead& head) {
            return answer(connection, head, "i-other");
        })
    {
    }

    int run()
    {
        m_store.put("op/config", configuration(1, "web", "intake"));
        m_store.putUpstream("i-web", { m_entry.targetAddress(), "web", "a", 5, 1'000 });
        m_store.putUpstream("i-faulty", { m_first.targetAddress(), "intake", "b", 5, 1'000 });
        m_store.putUpstream("i-sound", { m_second.targetAddress(), "intake", "c", 5, 1'000 });
        m_store.putUpstream("i-other", { m_third.targetAddress(), "intake", "a", 5, 1'000 });
        if (!m_entry.start() || !m_first.start() || !m_second.start() || !m_third.start())
            return notPlayed("the nodes did not start");
        if (!m_entry.awaitReady() || !m_first.awaitReady() || !m_second.awaitReady() || !m_third.awaitReady())
            return notPlayed("the nodes did not become ready");
        std::vector<std::thread> threads;
        for (int i = 0; i < callers; ++i)
            threads.emplace_back([this, i] { call(i); });
        sleepMs(troubleFromMs);
        m_trouble = hasTrouble();
        sleepMs(troubleMs);
        m_trouble = false;
        sleepMs(afterTroubleMs);
        m_ended = true;
        for (auto& thread : threads)
            thread.join();
        return judge();
    }

private:
    int notPlayed(const std::string& reason)
    {
        m_record.write("the case could not be played: " + reason);
        return exitNotPlayed;
    }

    bool answer(Connection& connection, const MessageHead& head, const std::string& upstream)
    {
        const auto id = head.field("x-tarragonhaven-request-id");
        if (!connection.readBody(head))
            return false;
        ++m_runs;
        m_record.write("upstream " + upstream + " runs " + id);
        sleepMs(workMs);
        if (upstream != "i-faulty" || !m_trouble || ++m_answers % answersPerSpoiltOne != 0)
            return connection.write(response(upstream, id, body));
        const std::string coding = ++m_spoilt % 2 == 0 ? "chunked, chunked" : "chunkeb";
        m_record.write("upstream i-faulty answers " + id + " with Transfer-Encoding: " + coding);
        connection.write("HTTP/1.1 200 OK\r\nX-Tarragonhaven-Request-Id: " + id
            + "\r\nX-Tarragonhaven-Response-Signature: " + upstream + "." + id
            + "\r\nTransfer-Encoding: " + coding + "\r\nConnection: close\r\n\r\n" + bodyInChunks);
        return false;
    }

    void call(int number)
    {
        for (int i = 0; !m_ended; ++i) {
            // Half of the requests may run once only.
            const bool once = i % 2 == 0;
            const auto id = "enroll-" + std::to_string(number) + "-" + std::to_string(i);
            Connection connection(Connection::connectTo(m_entry.callerAddress()));
            connection.write(once ? request("POST", "/once-intake/" + id, id, deadlineMs, 100)
                                  : request("GET", "/load-intake/" + id, id, deadlineMs, 0));
            const auto head = connection.readHead();
            const auto received = head ? connection.readBody(*head) : std::nullopt;
            check(id, head, received);
        }
    }

    void check(const std::string& id, const std::optional<MessageHead>& head,
        const std::optional<std::string>& received)
    {
        if (!received)
            return m_record.write(id + ": no complete answer");
        const bool wrong = statusOf(*head) == success && *received != body;
        m_wrong += wrong ? 1 : 0;
        m_record.write(id + ": answered " + head->startLine
            + (wrong ? ", signature " + head->field("x-tarragonhaven-response-signature") + ", with "
                        + std::to_string(received->size()) + " bytes that are not the upstream's body"
                     : ""));
    }

    int judge()
    {
        m_record.write(std::to_string(m_spoilt) + " answers were spoilt, " + std::to_string(m_wrong)
            + " callers got a success with another body than the upstream's: MIXED is "
            + (m_wrong > 0 ? "broken" : "kept"));
        if (m_runs == 0 || (hasTrouble() && m_spoilt == 0))
            return notPlayed("no answer was spoilt");
        return m_wrong > 0 ? 1 : 0;
    }

    TemporaryFolder m_folder;
    Record m_record;
    std::uint16_t m_ports;
    std::atomic<bool> m_trouble { false };
    std::atomic<bool> m_ended { false };
    std::atomic<int> m_runs { 0 };
    std::atomic<int> m_answers { 0 };
    std::atomic<int> m_spoilt { 0 };
    std::atomic<int> m_wrong { 0 };
    Store m_store;
    Node m_entry;
    Node m_first;
    Node m_second;
    Node m_third;
    Server m_faulty;
    Server m_sound;
    Server m_other;
};

} // namespace

int main(int argumentCount, char** arguments)
{
    return argumentCount == 2 ? Case(arguments[1]).run() : exitNotPlayed;
}
