// The order of pipelined requests and the bytes of their responses, without a network: random connections
// against an oracle.

#include "tarragonhaven/pipelining/ahead_budget.h"
#include "tarragonhaven/pipelining/pending_response.h"
#include "tarragonhaven/pipelining/request_pipeline.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <limits>
#include <memory>
#include <random>
#include <vector>

namespace tarragonhaven::testing {

namespace {

    constexpr std::size_t maximumRequests = 6;
    constexpr std::size_t heldLimitBytes = 200'000;
    constexpr std::size_t pieceBytes = 20'000;

    // A connection whose caller, targets and session act in random order.
    class RandomConnection {
    public:
        explicit RandomConnection(unsigned seed)
            : m_random(seed)
            , m_requestCount(chance(0.1) ? 200 : 1 + pick(30))
            , m_idempotentShare(chance(0.3) ? 1 : 0.7)
            , m_faultShare(chance(0.5) ? 0 : 0.1)
            , m_stopStep(chance(0.3) ? pick(300) : -1)
        {
        }

        void run()
        {
            int idle = 0;
            for (int step = 0; !m_closed && idle < 1000; ++step) {
                if (step == m_stopStep)
                    stop();
                startRequests();
                idle = act() ? 0 : idle + 1;
                check();
            }
            checkEnd();
        }

    private:
        struct Request {
            explicit Request(BodyBudget& budget)
                : response(budget)
            {
            }
            bool idempotent = false;
            bool started = false;
            bool targetEnded = false;
            int piecesLeft = 0;
            PendingResponse response;
            // What the caller is to receive, and what it has received.
            std::string expected;
            std::string received;
            bool announced = false;
        };

        bool chance(double share) { return std::uniform_real_distribution(0.0, 1.0)(m_random) < share; }
        int pick(int count) { return std::uniform_int_distribution(0, count - 1)(m_random); }
        [[nodiscard]] bool isFront(std::size_t number) const { return m_pipeline.isFront(number); }

        // One more request may be read only if no response is left that can announce the close.
        void stop()
        {
            const bool begun = !m_requests.empty() && m_requests.back()->response.begun();
            m_maximumRead = m_requests.size() + (m_pipeline.empty() || begun ? 1 : 0);
            m_pipeline.stop();
        }

        bool act()
        {
            switch (pick(4)) {
            case 0:
                return readRequest();
            case 1:
                return completeBody();
            case 2:
                return receiveFromTarget();
            default:
                return write();
            }
        }

        bool readRequest()
        {
            const bool last = m_requests.size() + 1 == static_cast<std::size_t>(m_requestCount);
            if (m_bodyOpen || m_requests.size() >= static_cast<std::size_t>(m_requestCount)
                || !m_pipeline.mayRead())
                return false;
            const auto number = m_pipeline.add();
            REQUIRE(number == m_requests.size());
            auto& request = *m_requests.emplace_back(std::make_unique<Request>(m_budget));
            request.idempotent = chance(m_idempotentShare);
            request.piecesLeft = pick(8);
            m_bodyOpen = chance(0.2);
            m_pipeline.classify(number, { request.idempotent, !m_bodyOpen });
            if (last)
                m_pipeline.endReading();
            return true;
        }

        bool completeBody()
        {
            if (!std::exchange(m_bodyOpen, false))
                return false;
            m_pipeline.classify(m_requests.size() - 1, { m_requests.back()->idempotent, true });
            return true;
        }

        void startRequests()
        {
            while (const auto number = m_pipeline.takeStartable()) {
                auto& request = *m_requests.at(*number);
                if (!isFront(*number) && chance(0.1)) {
                    m_pipeline.postpone(*number);
                    continue;
                }
                REQUIRE_FALSE(request.started);
                request.started = true;
                for (std::size_t before = m_answered; before < *number; ++before) {
                    INFO("request " << *number << " starts behind request " << before);
                    CHECK(request.idempotent);
                    CHECK(m_requests.at(before)->idempotent);
                }
            }
        }

        // The target of one request sends the next part of its response, or fails.
        bool receiveFromTarget()
        {
            if (m_requests.size() == m_answered)
                return false;
            const auto number = m_answered + pick(static_cast<int>(m_requests.size() - m_answered));
            auto& request = *m_requests[number];
            const bool read = isFront(number) || m_budget.allows(pieceBytes);
            if (!request.started || request.targetEnded || !read)
                return false;
            if (chance(m_faultShare))
                return fail(number, request);
            if (!request.response.arrived()) {
                request.expected = absl::StrCat("head of ", number, ";");
                request.response.setHead({ static_cast<int>(number), {}, true, -1 });
            } else if (request.piecesLeft > 0) {
                std::string piece = absl::StrCat(number, "-", request.piecesLeft--, ";");
                piece.resize(1 + pick(pieceBytes), static_cast<char>('a' + number % 26));
                request.expected += piece;
                request.response.append({ piece, false });
            } else {
                request.targetEnded = true;
                request.response.setEnd();
            }
            return true;
        }

        bool fail(std::size_t number, Request& request)
        {
            request.targetEnded = true;
            if (!request.response.begun()) {
                request.expected = absl::StrCat("refusal of ", number, ";");
                request.response.refuse({ RefusalReason::TargetFailed, RunState::Unknown, {}, "" });
                return true;
            }
            m_truncated = true;
            m_closed = true;
            drop(m_pipeline.closeAfter(number), number);
            return true;
        }

        void drop(const std::vector<RequestPipeline::Number>& dropped, std::size_t number)
        {
            CHECK(dropped.size() == m_requests.size() - number - 1);
            for (const auto behind : dropped)
                CHECK(m_requests.at(behind)->received.empty());
            m_dropped = dropped.size();
        }

        bool write()
        {
            if (m_pipeline.empty())
                return false;
            auto& front = *m_requests.at(m_answered);
            switch (front.response.next()) {
            case PendingResponse::Part::None:
                return false;
            case PendingResponse::Part::Refusal:
                announce(front, chance(m_faultShare));
                front.response.takeRefusal();
                front.received = absl::StrCat("refusal of ", m_answered, ";");
                return answered(front);
            case PendingResponse::Part::Head:
                announce(front, false);
                front.received = absl::StrCat("head of ", front.response.takeHead().status, ";");
                return true;
            case PendingResponse::Part::Chunk:
                front.received += front.response.takeChunk().data;
                return true;
            case PendingResponse::Part::End:
                return answered(front);
            }
            return false;
        }

        void announce(Request& front, bool closes)
        {
            CHECK_FALSE(m_announced);
            front.announced = closes || m_pipeline.closesAfterFront();
            m_announced = front.announced;
            if (front.announced)
                drop(m_pipeline.closeAfter(m_answered), m_answered);
        }

        bool answered(const Request& front)
        {
            CHECK(front.received == front.expected);
            m_pipeline.finishFront();
            ++m_answered;
            m_closed = front.announced || m_pipeline.done();
            return true;
        }

        void check() const
        {
            CHECK(m_pipeline.size() <= maximumRequests);
            CHECK(m_budget.heldBytes() <= heldLimitBytes + 2 * pieceBytes * maximumRequests);
            CHECK((!m_announced || !m_pipeline.mayRead()));
        }

        void checkEnd() const
        {
            // Every request that was read is answered, unless it is behind a response that closed the
            // connection; the response of a target that failed in its middle is cut off.
            CHECK(m_closed);
            CHECK(m_requests.size() <= m_maximumRead);
            CHECK(m_answered + m_dropped + (m_truncated ? 1 : 0) == m_requests.size());
            if (m_truncated) {
                const auto& cut = *m_requests.at(m_answered);
                CHECK(cut.expected.starts_with(cut.received));
            }
            // The last response announces the close.
            if (!m_truncated && !m_requests.empty())
                CHECK(m_requests.at(m_answered - 1)->announced);
            for (std::size_t i = m_answered + (m_truncated ? 1 : 0); i < m_requests.size(); ++i)
                CHECK(m_requests[i]->received.empty());
        }

        std::mt19937 m_random;
        int m_requestCount;
        double m_idempotentShare;
        double m_faultShare;
        int m_stopStep;
        BodyBudget m_budget { heldLimitBytes };
        RequestPipeline m_pipeline { maximumRequests };
        std::vector<std::unique_ptr<Request>> m_requests;
        std::size_t m_maximumRead = std::numeric_limits<std::size_t>::max();
        std::size_t m_answered = 0;
        std::size_t m_dropped = 0;
        bool m_bodyOpen = false;
        bool m_announced = false;
        bool m_truncated = false;
        bool m_closed = false;
    };

} // namespace

// Guards against a response that is delivered for another request, twice or not at all, and against a request
// that runs beside one that must not run twice.
TEST_CASE("responses to pipelined requests are written whole and in order, whatever happens meanwhile")
{
    for (unsigned seed = 1; seed <= 3000; ++seed) {
        INFO("seed " << seed);
        RandomConnection(seed).run();
    }
}

// Guards against one organisation whose connections take all that may be started ahead.
TEST_CASE("an organisation that sends many requests ahead leaves room for the others")
{
    PipelineLimits limits;
    limits.aheadRequests = 10;
    limits.aheadRequestsPerOrganisation = 4;
    AheadBudget budget(limits);
    const auto acquire = [&budget](const std::string& organisation, int count) {
        int acquired = 0;
        for (int i = 0; i < count; ++i)
            acquired += budget.tryAcquire({ organisation }, 100) ? 1 : 0;
        return acquired;
    };
    CHECK(acquire("harbour", 100) == 4);
    CHECK(acquire("orchard", 3) == 3);
    CHECK(acquire("meadow", 100) == 3);
    budget.release({ "harbour" }, 100);
    CHECK(acquire("harbour", 2) == 1);
    CHECK(budget.inUse() == 10);
    for (int i = 0; i < 4; ++i)
        budget.release({ "harbour" }, 100);
    CHECK_FALSE(budget.tryAcquire({ "harbour" }, limits.aheadBytes - 500));
    CHECK(budget.tryAcquire({ "harbour" }, limits.aheadBytes - 600));
}

} // namespace tarragonhaven::testing
