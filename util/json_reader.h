#pragma once

#include "util/error.h"

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace util {

// What a reader does with fields that no accessor has read. The setting also applies to nested objects.
enum class UnknownFields {
    Reject,
    Ignore,
};

// Reads the fields of one JSON object. Adds a fault to `faults` for each field that is missing, has the wrong
// type or is out of range. rejectUnknownFields() adds one for each field that no accessor has read. Reading
// continues after a fault, so that one pass finds all of them. The accessor of a faulty field returns a
// default: an empty text, the lower bound of a number, or the fallback of a boolean. `object` and `faults`
// must outlive the reader.
class JsonReader {
public:
    JsonReader(const nlohmann::json& object, std::string path, Faults& faults,
        UnknownFields unknown = UnknownFields::Reject);

    // Reads a required text of 1 to 200 characters.
    std::string text(const std::string& name);
    // Reads an optional text. Returns `fallback` if the field is missing.
    std::string textOr(const std::string& name, const std::string& fallback);
    // Reads a required integer within [low, high].
    std::int64_t integer(const std::string& name, std::int64_t low, std::int64_t high);
    // Reads an optional integer within [low, high]. Returns `fallback` if the field is missing.
    std::int64_t integerOr(
        const std::string& name, std::int64_t low, std::int64_t high, std::int64_t fallback);
    // Reads a required number, which need not be an integer, within [low, high].
    double decimal(const std::string& name, double low, double high);
    // Same as decimal(), for a field that may be missing. Returns `fallback` in that case.
    double decimalOr(const std::string& name, double low, double high, double fallback);
    // Returns whether the object has the field. Does not count as reading it.
    [[nodiscard]] bool has(const std::string& name) const;
    // Reads a required object with `read`. Unknown fields of the object are rejected only if `read` does so.
    void object(const std::string& name, const std::function<void(JsonReader&)>& read);
    // Reads an optional boolean. Returns `fallback` if the field is missing.
    bool booleanOr(const std::string& name, bool fallback);
    // Reads a required array of objects: calls `each` for every element, then rejects its unknown fields.
    void objects(const std::string& name, const std::function<void(JsonReader&)>& each);
    // Same as objects(), for an array that may be missing.
    void optionalObjects(const std::string& name, const std::function<void(JsonReader&)>& each);
    // Reads an array of texts of 1 to 200 characters that may be missing. Adds a fault for each invalid
    // element and skips it.
    std::vector<std::string> optionalTexts(const std::string& name);
    // Reads an array of arrays of texts that may be missing.
    std::vector<std::vector<std::string>> optionalTextLists(const std::string& name);

    // Adds a fault with the path of the field `name`.
    void addFault(const std::string& name, const std::string& reason);
    // Adds a fault for each field that no accessor has read, unless unknown fields are ignored.
    void rejectUnknownFields();
    // Returns the path of the field `name` from the root of the document.
    [[nodiscard]] std::string pathOf(const std::string& name) const;

private:
    const nlohmann::json* findField(const std::string& name, bool required);
    std::vector<std::string> texts(const nlohmann::json& array, const std::string& name);
    void readObjects(
        const nlohmann::json& array, const std::string& name, const std::function<void(JsonReader&)>& each);

    const nlohmann::json& m_object;
    std::string m_path;
    Faults& m_faults;
    UnknownFields m_unknown;
    std::set<std::string> m_readFields;
};

// Parses `text` as a JSON object. Returns a single fault if it is not valid JSON or not an object.
Checked<nlohmann::json> parseJsonObject(const std::string& text);

} // namespace util
