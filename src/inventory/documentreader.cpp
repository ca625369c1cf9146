#include "inventory/documentreader.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace bamboohold {

DocumentReader::DocumentReader(const boost::json::object &object, std::string path, std::vector<DocumentError> &errors)
    : m_object(&object)
    , m_path(std::move(path))
    , m_errors(&errors)
{
}

const boost::json::value *DocumentReader::find(std::string_view field) const
{
    return m_object->if_contains({field.data(), field.size()});
}

void DocumentReader::fail(std::string_view field, std::string_view message)
{
    m_errors->push_back({.path = absl::StrCat(m_path, "/", std::string(field)), .message = std::string(message)});
}

std::string DocumentReader::text(std::string_view field, bool optional)
{
    const boost::json::value *value = find(field);
    if (value == nullptr) {
        if (!optional) {
            fail(field, "is missing; a string is required");
        }
        return {};
    }
    if (!value->is_string() || (value->get_string().empty() && !optional)) {
        fail(field, "must be a non-empty string");
        return {};
    }
    return std::string(value->get_string());
}

std::int64_t DocumentReader::number(std::string_view field, std::int64_t minimum, std::int64_t maximum, std::int64_t fallback)
{
    const boost::json::value *value = find(field);
    if (value == nullptr) {
        return fallback;
    }
    const bool whole = value->is_int64();
    if (!whole || value->get_int64() < minimum || value->get_int64() > maximum) {
        fail(field, absl::StrCat("must be a whole number from ", minimum, " to ", maximum));
        return fallback;
    }
    return value->get_int64();
}

std::int64_t DocumentReader::requiredNumber(std::string_view field, std::int64_t minimum, std::int64_t maximum)
{
    if (find(field) == nullptr) {
        fail(field, absl::StrCat("is missing; a whole number from ", minimum, " to ", maximum, " is required"));
        return minimum;
    }
    return number(field, minimum, maximum, minimum);
}

double DocumentReader::positive(std::string_view field, double fallback)
{
    const boost::json::value *value = find(field);
    if (value == nullptr) {
        return fallback;
    }
    boost::json::error_code error;
    const auto real = value->to_number<double>(error);
    if (error || real <= 0) {
        fail(field, "must be a number above 0");
        return fallback;
    }
    return real;
}

double DocumentReader::nonNegative(std::string_view field, double fallback)
{
    const boost::json::value *value = find(field);
    boost::json::error_code error;
    const bool zero = value != nullptr && value->to_number<double>(error) == 0 && !error;
    return zero ? 0 : positive(field, fallback);
}

double DocumentReader::requiredPositive(std::string_view field)
{
    if (!has(field)) {
        fail(field, "is missing; a number above 0 is required");
        return 1;
    }
    return positive(field, 1);
}

bool DocumentReader::flag(std::string_view field)
{
    const boost::json::value *value = find(field);
    if (value == nullptr) {
        return false;
    }
    if (!value->is_bool()) {
        fail(field, "must be true or false");
        return false;
    }
    return value->get_bool();
}

bool DocumentReader::has(std::string_view field) const
{
    const boost::json::value *value = find(field);
    return value != nullptr && !value->is_null();
}

bool DocumentReader::contains(std::string_view field) const
{
    return find(field) != nullptr;
}

std::optional<DocumentReader> DocumentReader::object(std::string_view field)
{
    const boost::json::value *value = find(field);
    if (value == nullptr || value->is_null()) {
        return std::nullopt;
    }
    if (!value->is_object()) {
        fail(field, "must be an object");
        return std::nullopt;
    }
    return DocumentReader(value->get_object(), absl::StrCat(m_path, "/", std::string(field)), *m_errors);
}

std::vector<std::string> DocumentReader::texts(std::string_view field)
{
    std::vector<std::string> result;
    const boost::json::value *value = find(field);
    if (value == nullptr) {
        return result;
    }
    if (!value->is_array()) {
        fail(field, "must be a list of strings");
        return result;
    }
    for (const boost::json::value &item : value->get_array()) {
        if (!item.is_string()) {
            fail(field, "must be a list of strings");
            return {};
        }
        result.emplace_back(item.get_string());
    }
    return result;
}

std::vector<DocumentReader> DocumentReader::objects(std::string_view field)
{
    std::vector<DocumentReader> result;
    const boost::json::value *value = find(field);
    if (value == nullptr) {
        return result;
    }
    if (!value->is_array()) {
        fail(field, "must be a list of objects");
        return result;
    }
    std::size_t index = 0;
    for (const boost::json::value &item : value->get_array()) {
        const std::string itemPath = absl::StrCat(std::string(field), "/", index++);
        if (!item.is_object()) {
            fail(itemPath, "must be an object");
            continue;
        }
        result.emplace_back(item.get_object(), absl::StrCat(m_path, "/", itemPath), *m_errors);
    }
    return result;
}

void DocumentReader::allowOnly(std::initializer_list<std::string_view> names)
{
    for (const auto &entry : *m_object) {
        const std::string_view key(entry.key().data(), entry.key().size());
        if (std::find(names.begin(), names.end(), key) == names.end()) {
            fail(key, "is not a known field");
        }
    }
}

}
