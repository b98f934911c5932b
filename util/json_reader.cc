// Each accessor looks up one field, records its name as read, and adds a fault (path, reason) if it is
// invalid. The unknown fields of an object are those that no accessor has read. The cost is linear in the
// size of the document.

#include "util/json_reader.h"

namespace util {

namespace {

    constexpr std::size_t maximumTextLength = 200;

    bool isValidText(const nlohmann::json& value)
    {
        if (!value.is_string())
            return false;
        const auto& text = value.get_ref<const std::string&>();
        return !text.empty() && text.size() <= maximumTextLength;
    }

} // namespace

JsonReader::JsonReader(const nlohmann::json& object, std::string path, Faults& faults, UnknownFields unknown)
    : m_object(object)
    , m_path(std::move(path))
    , m_faults(faults)
    , m_unknown(unknown)
{
    if (!m_object.is_object())
        m_faults.push_back({ m_path, "is not an object" });
}

std::string JsonReader::pathOf(const std::string& name) const
{
    return m_path.empty() ? name : m_path + "." + name;
}

void JsonReader::addFault(const std::string& name, const std::string& reason)
{
    m_faults.push_back({ pathOf(name), reason });
}

const nlohmann::json* JsonReader::findField(const std::string& name, bool required)
{
    m_readFields.insert(name);
    if (!m_object.is_object())
        return nullptr;
    const auto found = m_object.find(name);
    if (found != m_object.end())
        return &*found;
    if (required)
        addFault(name, "is missing");
    return nullptr;
}

std::string JsonReader::text(const std::string& name)
{
    const auto* value = findField(name, true);
    if (!value)
        return {};
    if (isValidText(*value))
        return value->get<std::string>();
    addFault(name, "is not a string of 1 to 200 characters");
    return {};
}

std::string JsonReader::textOr(const std::string& name, const std::string& fallback)
{
    return findField(name, false) ? text(name) : fallback;
}

std::int64_t JsonReader::integer(const std::string& name, std::int64_t low, std::int64_t high)
{
    const auto* value = findField(name, true);
    if (!value)
        return low;
    if (value->is_number_integer()) {
        const auto number = value->get<std::int64_t>();
        if (number >= low && number <= high)
            return number;
    }
    addFault(name, "is not an integer from " + std::to_string(low) + " to " + std::to_string(high));
    return low;
}

std::int64_t JsonReader::integerOr(
    const std::string& name, std::int64_t low, std::int64_t high, std::int64_t fallback)
{
    return findField(name, false) ? integer(name, low, high) : fallback;
}

double JsonReader::decimal(const std::string& name, double low, double high)
{
    const auto* value = findField(name, true);
    if (!value)
        return low;
    if (value->is_number()) {
        const auto number = value->get<double>();
        if (number >= low && number <= high)
            return number;
    }
    addFault(name, "is not a number from " + std::to_string(low) + " to " + std::to_string(high));
    return low;
}

double JsonReader::decimalOr(const std::string& name, double low, double high, double fallback)
{
    return findField(name, false) ? decimal(name, low, high) : fallback;
}

bool JsonReader::has(const std::string& name) const
{
    return m_object.is_object() && m_object.contains(name);
}

void JsonReader::object(const std::string& name, const std::function<void(JsonReader&)>& read)
{
    if (const auto* value = findField(name, true)) {
        JsonReader reader(*value, pathOf(name), m_faults, m_unknown);
        read(reader);
    }
}

bool JsonReader::booleanOr(const std::string& name, bool fallback)
{
    const auto* value = findField(name, false);
    if (!value)
        return fallback;
    if (value->is_boolean())
        return value->get<bool>();
    addFault(name, "is neither true nor false");
    return fallback;
}

void JsonReader::readObjects(
    const nlohmann::json& array, const std::string& name, const std::function<void(JsonReader&)>& each)
{
    if (!array.is_array()) {
        addFault(name, "is not an array");
        return;
    }
    for (std::size_t index = 0; index < array.size(); ++index) {
        JsonReader reader(
            array[index], pathOf(name) + "[" + std::to_string(index) + "]", m_faults, m_unknown);
        each(reader);
        reader.rejectUnknownFields();
    }
}

void JsonReader::objects(const std::string& name, const std::function<void(JsonReader&)>& each)
{
    if (const auto* value = findField(name, true))
        readObjects(*value, name, each);
}

void JsonReader::optionalObjects(const std::string& name, const std::function<void(JsonReader&)>& each)
{
    if (const auto* value = findField(name, false))
        readObjects(*value, name, each);
}

std::vector<std::string> JsonReader::texts(const nlohmann::json& array, const std::string& name)
{
    std::vector<std::string> result;
    if (!array.is_array()) {
        addFault(name, "is not an array of strings");
        return result;
    }
    for (const auto& item : array) {
        if (isValidText(item))
            result.push_back(item.get<std::string>());
        else
            addFault(name, "contains an element that is not a string of 1 to 200 characters");
    }
    return result;
}

std::vector<std::string> JsonReader::optionalTexts(const std::string& name)
{
    const auto* value = findField(name, false);
    return value ? texts(*value, name) : std::vector<std::string> {};
}

std::vector<std::vector<std::string>> JsonReader::optionalTextLists(const std::string& name)
{
    std::vector<std::vector<std::string>> result;
    const auto* value = findField(name, false);
    if (!value)
        return result;
    if (!value->is_array()) {
        addFault(name, "is not an array of arrays of strings");
        return result;
    }
    for (const auto& item : *value)
        result.push_back(texts(item, name));
    return result;
}

void JsonReader::rejectUnknownFields()
{
    if (m_unknown == UnknownFields::Ignore)
        return;
    if (!m_object.is_object())
        return;
    for (const auto& [name, value] : m_object.items()) {
        if (!m_readFields.contains(name))
            addFault(name, "is an unknown field");
    }
}

Checked<nlohmann::json> parseJsonObject(const std::string& text)
{
    auto document = nlohmann::json::parse(text, nullptr, false);
    if (document.is_discarded())
        return tl::unexpected(Faults { { "", "is not valid JSON" } });
    if (!document.is_object())
        return tl::unexpected(Faults { { "", "is not a JSON object" } });
    return document;
}

} // namespace util
