#pragma once

#include "tarragonhaven/configuration_holder.h"
#include "tarragonhaven/directory_tracker.h"
#include "tarragonhaven/discovery_counters.h"
#include "tarragonhaven/discovery_event.h"
#include "tarragonhaven/log_channel.h"
#include "tarragonhaven/record_store.h"
#include "util/bounded_ring.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <thread>
#include <utility>

namespace tarragonhaven {

// The thread that reads declarations and target records from a store. It lists everything once and then
// watches for changes; it lists everything again when the store no longer keeps the changes since the last
// known revision, or has been restored from a copy. Declarations are accepted only as a whole, and only if
// they are newer than those in force. Failed calls are retried after a random delay, and records that cannot
// be read are logged and counted.
template <RecordStore Store> class DiscoveryWatcher {
public:
    using EventRing = util::BoundedRing<DiscoveryEvent>;

    // `makeStore` creates the store from the io_context of the thread.
    template <typename MakeStore>
    DiscoveryWatcher(MakeStore makeStore, DirectoryOptions options, LogChannel& log)
        : m_log(log)
        , m_store(makeStore(m_io))
        , m_tracker(options)
        , m_evacuations(options.evacuation)
        , m_events(ringCapacity)
        , m_timer(m_io)
        , m_graceTimer(m_io)
        , m_random(std::random_device()())
    {
    }
    ~DiscoveryWatcher() { stop(); }
    DiscoveryWatcher(const DiscoveryWatcher&) = delete;
    DiscoveryWatcher& operator=(const DiscoveryWatcher&) = delete;

    [[nodiscard]] EventRing& events() { return m_events; }
    [[nodiscard]] const DiscoveryCounters& counters() const { return m_counters; }

    void start()
    {
        boost::asio::post(m_io, [this] { list(); });
        m_thread = std::thread([this] {
            const auto work = boost::asio::make_work_guard(m_io);
            m_io.run();
        });
    }

    void stop()
    {
        m_io.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

private:
    static constexpr std::size_t ringCapacity = 256;
    // How long the store may hold a watch request open while there is no change. The response may be lost on
    // a connection that stays open, and the change is then found only after this time and the timeout margin
    // of the store's client. Together they have to stay below the 2 s within which a change has to be in
    // force. Drawn at random for each watch, so that the nodes, which a change wakes at the same moment, do
    // not call the store at the same moment again.
    static constexpr util::Duration minimumWatchWait = std::chrono::milliseconds(1200);
    static constexpr util::Duration maximumWatchWait = std::chrono::milliseconds(1400);
    // Targets lose their records when the store has not heard from them for some seconds. After a silence of
    // this length the loss of records may be due to the store.
    static constexpr util::Duration recordLossSilence = std::chrono::seconds(3);
    // The pause between watches. Changes within this time are read in one call, because every call adds load
    // to the store. It is about a third of the 2 s within which a change has to be in force.
    static constexpr util::Duration batchDelay = std::chrono::milliseconds(650);
    // How often targets whose records are missing or were restored are checked for the end of their delay.
    static constexpr util::Duration graceCheckInterval = std::chrono::milliseconds(200);
    // The delay before a failed call is retried.
    static constexpr util::Duration minimumRetryDelay = std::chrono::milliseconds(250);
    static constexpr util::Duration maximumRetryDelay = std::chrono::milliseconds(750);
    // The delay before a call that the store refused because of too many reads is retried.
    static constexpr util::Duration minimumThrottledDelay = std::chrono::milliseconds(700);
    static constexpr util::Duration maximumThrottledDelay = std::chrono::milliseconds(2000);

    using Call = void (DiscoveryWatcher::*)();

    util::Duration randomDuration(util::Duration minimum, util::Duration maximum)
    {
        return util::Duration(
            std::uniform_int_distribution<std::int64_t>(minimum.count(), maximum.count())(m_random));
    }

    // Calls `call` after a random delay between the limits.
    void scheduleAfter(util::Duration minimumDelay, util::Duration maximumDelay, Call call)
    {
        m_timer.expires_after(randomDuration(minimumDelay, maximumDelay));
        m_timer.async_wait([this, call](boost::system::error_code error) {
            if (!error)
                std::invoke(call, this);
        });
    }

    void beginCall(const char* name)
    {
        m_callName = name;
        m_callStartedAt = util::BootClock::now();
    }

    // Returns the milliseconds since `time`, or -1 if it is not set.
    static std::int64_t millisecondsSince(util::Time time)
    {
        if (time == util::Time {})
            return -1;
        return std::chrono::duration_cast<std::chrono::milliseconds>(util::BootClock::now() - time).count();
    }

    void list()
    {
        beginCall("list");
        m_store.list([this](tl::expected<RecordListing, StoreFault> listing) {
            if (!listing)
                return onFailure(listing.error(), &DiscoveryWatcher::list);
            extendOutageGrace();
            onResponse(listing->asOfRevision);
            recordEpoch(listing->epoch);
            for (const auto& rejected : listing->rejected)
                recordRejected(rejected);
            if (listing->declarations)
                apply(*listing->declarations);
            m_tracker.onListing(listing->targets, listing->asOfRevision, util::BootClock::now());
            m_evacuations.onListing(listing->evacuations, listing->asOfRevision, util::BootClock::now());
            m_asOf = { listing->epoch, listing->asOfRevision };
            publishDirectory();
            watch();
        });
    }

    void watch()
    {
        // The first watch after lost contact returns at once, so that a restore of the store shows without
        // delay.
        if (!m_reachable)
            return readChanges("watch", util::Duration {});
        readChanges("watch", randomDuration(minimumWatchWait, maximumWatchWait));
    }

    // Reads the changes on a new connection without waiting for one.
    void confirm() { readChanges("confirm", util::Duration {}); }

    void readChanges(const char* name, util::Duration wait)
    {
        beginCall(name);
        m_store.watch(m_asOf.revision, wait, [this, wait](tl::expected<RecordChanges, StoreFault> changes) {
            if (!changes) {
                const auto kind = changes.error().kind;
                const bool waited = m_reachable && wait > util::Duration {};
                // The response may have been lost alone, with its connection, while the store answers others.
                if (waited && kind == StoreFault::Kind::TimedOut) {
                    countFault(kind);
                    return confirm();
                }
                return onFailure(changes.error(),
                    kind == StoreFault::Kind::HistoryGone ? &DiscoveryWatcher::list
                                                          : &DiscoveryWatcher::watch);
            }
            extendOutageGrace();
            onResponse(std::max(m_asOf.revision, changes->asOfRevision));
            // The changes are those of another history, in which this node has missed others.
            if (recordEpoch(changes->epoch))
                return scheduleAfter(util::Duration {}, minimumRetryDelay, &DiscoveryWatcher::list);
            for (const auto& change : changes->changes)
                std::visit([this](const auto& item) { this->apply(item); }, change);
            m_asOf.revision = std::max(m_asOf.revision, changes->asOfRevision);
            publishDirectory();
            scheduleAfter(batchDelay, batchDelay, &DiscoveryWatcher::watch);
        });
    }

    // Begins the time in which targets write the records again that they lost during an outage, when a
    // response shows that the outage has ended.
    void extendOutageGrace()
    {
        const auto now = util::BootClock::now();
        const bool hadContact = m_lastResponseAt != util::Time {};
        if (hadContact && (!m_reachable || now - m_lastResponseAt >= recordLossSilence))
            m_tracker.onSourceLost(now);
    }

    void onFailure(const StoreFault& fault, Call retryCall)
    {
        countFault(fault.kind);
        if (fault.kind == StoreFault::Kind::HistoryGone) {
            m_log.write(LogLevel::Info, "dependency",
                { { "name", "store" }, { "event", "history-gone" }, { "asOf", m_asOf.revision } });
            return scheduleAfter(util::Duration {}, minimumRetryDelay, retryCall);
        }
        m_tracker.onSourceLost(util::BootClock::now());
        m_counters.reachable.store(false);
        if (std::exchange(m_reachable, false))
            m_log.write(LogLevel::Warning, "dependency",
                { { "name", "store" }, { "event", "lost" }, { "reason", fault.detail },
                    { "call", m_callName }, { "callMs", millisecondsSince(m_callStartedAt) },
                    { "answerAgeMs", millisecondsSince(m_lastResponseAt) }, { "asOf", m_asOf.revision } });
        ++m_failedCalls;
        if (fault.kind == StoreFault::Kind::Throttled)
            return scheduleAfter(minimumThrottledDelay, maximumThrottledDelay, retryCall);
        scheduleAfter(minimumRetryDelay, maximumRetryDelay, retryCall);
    }

    void countFault(StoreFault::Kind kind)
    {
        auto& calls = m_counters.calls;
        auto& count = kind == StoreFault::Kind::HistoryGone ? calls.historyGone
            : kind == StoreFault::Kind::Throttled           ? calls.throttled
            : kind == StoreFault::Kind::TimedOut            ? calls.timedOut
                                                            : calls.failed;
        count.fetch_add(1, std::memory_order_relaxed);
    }

    void onResponse(Revision asOf)
    {
        m_counters.recordResponse(asOf);
        const auto answerAgeMs = millisecondsSince(std::exchange(m_lastResponseAt, util::BootClock::now()));
        const auto failedCalls = std::exchange(m_failedCalls, 0);
        if (std::exchange(m_reachable, true))
            return;
        m_log.write(LogLevel::Info, "dependency",
            { { "name", "store" }, { "event", "reached" }, { "failedCalls", failedCalls },
                { "answerAgeMs", answerAgeMs }, { "asOf", m_asOf.revision } });
        // Shows that the directory is up to date again, even if it is the same as before.
        m_tracker.markChanged();
    }

    // Records the epoch of a response. Returns whether the store has been restored since the last one.
    bool recordEpoch(StoreEpoch epoch)
    {
        m_counters.epoch.store(epoch, std::memory_order_relaxed);
        const auto before = std::exchange(m_latestEpoch, epoch);
        if (!before || *before == epoch)
            return false;
        m_log.write(LogLevel::Warning, "dependency",
            { { "name", "store" }, { "event", "restored" }, { "epoch", epoch }, { "before", *before },
                { "asOf", m_asOf.revision } });
        m_tracker.beginEpoch(util::BootClock::now());
        m_evacuations.beginEpoch(util::BootClock::now());
        return true;
    }

    void apply(const DeclaredDocument& document)
    {
        if (!m_holder.shouldFetch(document.revision))
            return;
        auto configuration
            = Configuration::fromDeclaration(document.revision, document.text, document.declaration);
        if (!configuration) {
            m_holder.recordRefused(document.revision);
            const auto& first = configuration.error().front();
            m_log.write(LogLevel::Error, "configuration",
                { { "event", "refused" }, { "revision", document.revision }, { "path", first.path },
                    { "reason", first.reason }, { "inForce", m_holder.revision() } });
            return;
        }
        m_holder.offer(*configuration);
        std::set<ServiceName> services;
        for (const auto& service : (*configuration)->index().services)
            services.insert(service.name);
        m_tracker.setDeclaredServices(std::move(services));
        m_log.write(LogLevel::Info, "configuration",
            { { "event", "accepted" }, { "revision", document.revision }, { "from", "store" },
                { "organisations", (*configuration)->organisationCount() },
                { "routes", (*configuration)->index().routes.size() } });
        m_events.push(DeclarationsAccepted { *configuration });
    }

    void apply(const TargetRecord& record) { m_tracker.onRecord(record, util::BootClock::now()); }

    void apply(const RemovedRecord& removed)
    {
        m_tracker.onRemoved(removed.name, removed.revision, util::BootClock::now());
    }

    void apply(const EvacuationChange& change) { m_evacuations.onChange(change, util::BootClock::now()); }

    void apply(const RejectedRecord& rejected) { recordRejected(rejected); }

    void recordRejected(const RejectedRecord& rejected)
    {
        m_counters.recordsRejected.fetch_add(1, std::memory_order_relaxed);
        m_log.write(LogLevel::Warning, "directory",
            { { "event", "record-rejected" }, { "record", rejected.name }, { "reason", rejected.reason } });
    }

    void publishDirectory()
    {
        m_tracker.advance(util::BootClock::now());
        m_evacuations.advance(util::BootClock::now());
        m_tracker.setEvacuated(m_evacuations.inForce());
        const auto changed = m_tracker.takeIfChanged(m_asOf);
        if (changed) {
            logDirectory(*changed);
            logEvacuations(*changed);
            m_events.push(DirectoryChanged { changed });
        }
        if (m_tracker.hasPendingChanges() || m_evacuations.hasPendingChanges())
            scheduleGraceCheck();
    }

    void scheduleGraceCheck()
    {
        m_graceTimer.expires_after(graceCheckInterval);
        m_graceTimer.async_wait([this](boost::system::error_code error) {
            if (!error)
                publishDirectory();
        });
    }

    void logDirectory(const Directory& directory)
    {
        std::size_t targets = 0;
        std::size_t leaving = 0;
        for (const auto& [service, list] : directory.targets()) {
            targets += list.size();
            for (const auto& target : list)
                leaving += target.leaving ? 1 : 0;
        }
        m_log.write(LogLevel::Info, "directory",
            { { "event", "changed" }, { "asOf", m_asOf.revision }, { "targets", targets },
                { "leaving", leaving } });
    }

    // Logs each data centre whose evacuation has begun or ended since the last directory.
    void logEvacuations(const Directory& directory)
    {
        const auto before = std::exchange(m_loggedEvacuations, directory.evacuated());
        const auto log = [this, &directory](const DataCentreName& dataCentre, const char* event) {
            std::size_t targets = 0;
            for (const auto& [service, list] : directory.targets()) {
                for (const auto& target : list)
                    targets += target.dataCentre == dataCentre ? 1 : 0;
            }
            m_log.write(LogLevel::Warning, "evacuation",
                { { "event", event }, { "dataCentre", dataCentre.text }, { "known", targets > 0 },
                    { "epoch", directory.asOf().epoch }, { "asOf", directory.asOf().revision },
                    { "targets", targets }, { "evacuated", directory.evacuated().size() } });
        };
        for (const auto& dataCentre : directory.evacuated()) {
            // A data centre without targets may be misspelt.
            if (!before.contains(dataCentre))
                log(dataCentre, "begun");
        }
        for (const auto& dataCentre : before) {
            if (!directory.evacuated().contains(dataCentre))
                log(dataCentre, "ended");
        }
    }

    LogChannel& m_log;
    boost::asio::io_context m_io;
    Store m_store;
    ConfigurationHolder m_holder;
    DirectoryTracker m_tracker;
    EvacuationTracker m_evacuations;
    // The evacuated data centres of the directory that was published last.
    std::set<DataCentreName> m_loggedEvacuations;
    EventRing m_events;
    DiscoveryCounters m_counters;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_graceTimer;
    std::mt19937_64 m_random;
    // The position up to which all changes are known.
    StorePosition m_asOf;
    // The epoch of the latest response; not set before the first.
    std::optional<StoreEpoch> m_latestEpoch;
    bool m_reachable = false;
    // The call in progress, or the last one.
    const char* m_callName = "";
    util::Time m_callStartedAt {};
    // The time of the last successful response; not set before the first.
    util::Time m_lastResponseAt {};
    // The number of calls that have failed since then.
    int m_failedCalls = 0;
    std::thread m_thread;
};

} // namespace tarragonhaven
