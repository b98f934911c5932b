#pragma once

#include "util/error.h"

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace util {

// Reads the fields of one JSON object, notes a fault for each field that is missing, of another type or out
// of range, and for each field that nobody asked for. Reading goes on after a fault, so that one pass finds
// them all; a field with a fault yields its default.
//
// A reader that passes unknown fields over does so for the objects inside as well.
enum class UnknownFields {
    Reject,
    Ignore,
};

class JsonReader {
public:
    JsonReader(const nlohmann::json& object, std::string path, Faults& faults,
        UnknownFields unknown = UnknownFields::Reject);

    // Required text of 1 to 200 characters.
    std::string text(const std::string& name);
    // Text that may be missing.
    std::string textOr(const std::string& name, const std::string& fallback);
    // A required whole number within [low, high].
    std::int64_t number(const std::string& name, std::int64_t low, std::int64_t high);
    // A whole number within [low, high] that may be missing.
    std::int64_t numberOr(
        const std::string& name, std::int64_t low, std::int64_t high, std::int64_t fallback);
    // A required decimal number within [low, high].
    double decimal(const std::string& name, double low, double high);
    // A decimal number within [low, high] that may be missing.
    double decimalOr(const std::string& name, double low, double high, double fallback);
    // Whether the field is there.
    [[nodiscard]] bool has(const std::string& name) const;
    // A required object.
    void object(const std::string& name, const std::function<void(JsonReader&)>& read);
    bool flagOr(const std::string& name, bool fallback);
    // A required array of objects.
    void objects(const std::string& name, const std::function<void(JsonReader&)>& each);
    // An array of objects that may be missing.
    void optionalObjects(const std::string& name, const std::function<void(JsonReader&)>& each);
    std::vector<std::string> optionalTexts(const std::string& name);
    // An array of arrays of texts that may be missing.
    std::vector<std::vector<std::string>> optionalTextLists(const std::string& name);

    void addFault(const std::string& name, const std::string& reason);
    // Notes a fault for every field that was not read, unless unknown fields are passed over.
    void rejectUnknownFields();
    [[nodiscard]] std::string pathOf(const std::string& name) const;

private:
    const nlohmann::json* findField(const std::string& name, bool required);
    std::vector<std::string> texts(const nlohmann::json& array, const std::string& name);
    void eachObject(
        const nlohmann::json& array, const std::string& name, const std::function<void(JsonReader&)>& each);

    const nlohmann::json& m_object;
    std::string m_path;
    Faults& m_faults;
    UnknownFields m_unknown;
    std::set<std::string> m_readFields;
};

// Parses `text` as a JSON object. A document that is not one yields a single fault.
Checked<nlohmann::json> parseJsonObject(const std::string& text);

} // namespace util
