#pragma once

#include "tarragonhaven/declaration.h"
#include "tarragonhaven/evacuation/evacuation_change.h"
#include "tarragonhaven/revision.h"
#include "tarragonhaven/target_record.h"
#include "util/error.h"
#include "util/time.h"

#include <concepts>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace tarragonhaven {

// The reads that a node makes from the store of declarations and target records, and their results. Errors
// are returned as StoreFault.

// Parsed declarations, with the text that they were parsed from.
struct DeclaredDocument {
    Revision revision = 0;
    Declaration declaration;
    std::shared_ptr<const std::string> text;
};

// An invalid record, which is not used. `name` is the key of the record in the store.
struct RejectedRecord {
    std::string name;
    std::string reason;
};

// A target record that was removed at `revision`.
struct RemovedRecord {
    TargetName name;
    Revision revision = 0;
};

using RecordChange
    = std::variant<DeclaredDocument, TargetRecord, RemovedRecord, RejectedRecord, EvacuationChange>;

// The whole content of the store as of a revision.
struct RecordListing {
    std::optional<DeclaredDocument> declarations;
    std::vector<TargetRecord> targets;
    std::vector<EvacuationChange> evacuations;
    std::vector<RejectedRecord> rejected;
    Revision asOfRevision = 0;
    StoreEpoch epoch = 0;
};

// The changes that a watch returned, complete up to `asOfRevision`.
struct RecordChanges {
    std::vector<RecordChange> changes;
    Revision asOfRevision = 0;
    StoreEpoch epoch = 0;
};

// The error of a failed read.
struct StoreFault {
    enum class Kind {
        // The store did not answer, or answered that it cannot serve reads now.
        Unavailable,
        // The connection was made, but the store did not answer in time.
        TimedOut,
        // The store refused the read because it receives too many.
        Throttled,
        // The store no longer keeps the changes since the given revision, or they are too many for one
        // response, or it was restored from a copy during the read; the caller has to list again.
        HistoryGone,
    };
    Kind kind = Kind::Unavailable;
    std::string detail;
};

template <typename T> using StoreHandler = std::function<void(tl::expected<T, StoreFault>)>;

// A store that declarations and target records are read from. `list` reads the whole content; `watch` reads
// the changes after a revision and waits up to `wait` for one. Callers start a read only after the
// previous one has ended. Handlers run on the thread of the caller's io_context.
template <typename T>
concept RecordStore = requires(T& store, Revision after, util::Duration wait)
{
    store.list(StoreHandler<RecordListing> {});
    store.watch(after, wait, StoreHandler<RecordChanges> {});
};

} // namespace tarragonhaven
