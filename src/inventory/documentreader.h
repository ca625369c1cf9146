#pragma once

#include "inventory/inventory.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// Reads typed fields of a JSON object and collects all errors with their paths, so that an operator can correct a file in one pass.
class DocumentReader
{
public:
    DocumentReader(const boost::json::object &object, std::string path, std::vector<DocumentError> &errors);

    /// A non-empty string; a missing or empty one is an error unless `optional` is set.
    std::string text(std::string_view field, bool optional = false);

    /// An integer within [minimum, maximum]; the fallback if the field is missing.
    std::int64_t number(std::string_view field, std::int64_t minimum, std::int64_t maximum, std::int64_t fallback);

    /// A required integer within [minimum, maximum].
    std::int64_t requiredNumber(std::string_view field, std::int64_t minimum, std::int64_t maximum);

    /// A number above 0; the fallback if the field is missing.
    double positive(std::string_view field, double fallback);

    /// A number of at least 0; the fallback if the field is missing.
    double nonNegative(std::string_view field, double fallback);

    /// A required number above 0.
    double requiredPositive(std::string_view field);

    /// A boolean; false if the field is missing.
    bool flag(std::string_view field);

    /// True if the field exists and is not null.
    bool has(std::string_view field) const;

    /// True if the field exists, even if it is null.
    bool contains(std::string_view field) const;

    /// A reader for a nested object; none if the field is missing or null.
    std::optional<DocumentReader> object(std::string_view field);

    /// A list of strings; empty if the field is missing.
    std::vector<std::string> texts(std::string_view field);

    /// Readers for the objects of a list; empty if the field is missing.
    std::vector<DocumentReader> objects(std::string_view field);

    /// Adds an error for each field outside the given names. Most of them are misspelled and would otherwise be ignored silently.
    void allowOnly(std::initializer_list<std::string_view> names);

    /// Adds an error for a field of this object.
    void fail(std::string_view field, std::string_view message);

    /// Path of this object in the document.
    const std::string &path() const
    {
        return m_path;
    }

private:
    const boost::json::value *find(std::string_view field) const;

    const boost::json::object *m_object;
    std::string m_path;
    std::vector<DocumentError> *m_errors;
};

}
