#pragma once

#include "tarragonhaven/declaration.h"
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

// Declarations as they were read, with the text that they were read from.
struct DeclaredDocument {
    Revision revision = 0;
    Declaration declaration;
    std::shared_ptr<const std::string> text;
};

// A record that could not be read; it names no target.
struct RejectedRecord {
    std::string name;
    std::string reason;
};

struct RemovedRecord {
    TargetName name;
    Revision revision = 0;
};

using RecordChange = std::variant<DeclaredDocument, TargetRecord, RemovedRecord, RejectedRecord>;

// Everything in the store as of a revision.
struct RecordListing {
    std::optional<DeclaredDocument> declarations;
    std::vector<TargetRecord> targets;
    std::vector<RejectedRecord> rejected;
    Revision asOfRevision = 0;
};

struct RecordChanges {
    std::vector<RecordChange> changes;
    Revision asOfRevision = 0;
};

// Why a read failed.
struct StoreFault {
    enum class Kind {
        // No answer, or one that says that the store cannot serve now.
        Unavailable,
        // The store asks for fewer reads.
        Throttled,
        // The changes since the revision are no longer kept: list again.
        HistoryGone,
    };
    Kind kind = Kind::Unavailable;
    std::string detail;
};

template <typename T> using StoreHandler = std::function<void(tl::expected<T, StoreFault>)>;

// A store from which declarations and target records are read. Calls do not overlap; handlers run on the
// thread of the caller's io_context.
template <typename T>
concept RecordStore = requires(T& store, Revision after, util::Duration wait)
{
    store.list(StoreHandler<RecordListing> {});
    store.watch(after, wait, StoreHandler<RecordChanges> {});
};

} // namespace tarragonhaven
