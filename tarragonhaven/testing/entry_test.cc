// What an entry makes of a caller's head, without sockets.

#include "tarragonhaven/entry.h"
#include "tarragonhaven/testing/local_fleet.h"

#include <catch2/catch.hpp>

namespace tarragonhaven::testing {

namespace {

    class AdmitsAll : public Admission {
    public:
        void admit(const AdmissionRequest&, OutcomeHandler<void> handler) override { handler({}); }
        void settle(const AdmissionRequest&, IdentityOutcome, int) override { }
        std::string issueIdentity(const OrganisationName&) override { return {}; }
    };

    ConfigurationPointer declared()
    {
        auto declaration = testDeclaration({});
        for (auto& route : declaration.index.routes)
            route.objective = std::chrono::milliseconds(400);
        auto configuration = Configuration::fromDeclaration(
            1, std::make_shared<const std::string>("{}"), std::move(declaration));
        REQUIRE(configuration);
        return *configuration;
    }

    EntryOptions optionsOfSidecar()
    {
        EntryOptions options;
        options.queueShareOfObjective = 1.5;
        options.internalFirst = true;
        return options;
    }

    // An entry with a configuration, whose nodes are never spoken with.
    class LoneEntry {
    public:
        explicit LoneEntry(const EntryOptions& options)
            : entry(
                { m_io, m_guard, m_peers, m_admission, m_log, m_metrics, { "i11" }, { "dc1" }, 1, options })
        {
            const auto configuration = declared();
            entry.apply(configuration, Directory::fromConfiguration(*configuration));
            entry.setReady(true);
        }

        AcceptedRequest accept(const std::string& target, const std::string& organisation)
        {
            RequestHead head;
            head.method = "GET";
            head.target = target;
            if (!organisation.empty())
                head.fields.push_back({ "X-Api-Key", testKey(organisation) });
            auto accepted = entry.accept(std::move(head));
            REQUIRE(accepted);
            return *accepted;
        }

    private:
        boost::asio::io_context m_io;
        Guard m_guard { m_io, { "i11" }, 1 };
        PeerPool m_peers { m_io, {} };
        AdmitsAll m_admission;
        LogChannel m_log { "i11", LogLevel::Error };
        TrafficMetrics m_metrics;

    public:
        Entry entry;
    };

} // namespace

TEST_CASE("a caller's request waits for a slot as long as its answer is worth it, a call of a target until "
          "its deadline")
{
    LoneEntry lone(optionsOfSidecar());
    const auto before = util::BootClock::now();
    const auto ofCaller = lone.accept("/status/1", "harbour");
    const auto after = util::BootClock::now();
    CHECK(ofCaller.context.queueUntil >= before + std::chrono::milliseconds(600));
    CHECK(ofCaller.context.queueUntil <= after + std::chrono::milliseconds(600));
    const auto ofTarget = lone.accept("/open/1", "");
    CHECK(ofTarget.context.queueUntil == util::Time {});
    CHECK(ofTarget.context.rank < ofCaller.context.rank);
}

} // namespace tarragonhaven::testing
