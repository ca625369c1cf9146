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

/// Reads typed fields out of a JSON object and collects every mistake with its path, so that an operator mends a file in one go.
class DocumentReader
{
public:
    DocumentReader(const boost::json::object &object, std::string path, std::vector<DocumentError> &errors);

    /// A non-empty string; an absent or empty one is an error unless optional.
    std::string text(std::string_view field, bool optional = false);

    /// A whole number within [lowest, highest]; absent gives the fallback.
    std::int64_t number(std::string_view field, std::int64_t minimum, std::int64_t maximum, std::int64_t fallback);

    /// A whole number that has to be there.
    std::int64_t requiredNumber(std::string_view field, std::int64_t minimum, std::int64_t maximum);

    /// A positive real number; absent gives the fallback.
    double positive(std::string_view field, double fallback);

    /// A real number that is 0 or above; absent gives the fallback.
    double nonNegative(std::string_view field, double fallback);

    /// A positive real number that has to be there.
    double requiredPositive(std::string_view field);

    /// True or false; absent gives false.
    bool flag(std::string_view field);

    /// True when the field is there and not null.
    bool has(std::string_view field) const;

    /// True when the field is there, whatever it holds.
    bool contains(std::string_view field) const;

    /// A nested object with a reader of its own; none when it is absent.
    std::optional<DocumentReader> object(std::string_view field);

    /// A list of strings; absent gives an empty one.
    std::vector<std::string> texts(std::string_view field);

    /// The objects of a list, each with a reader of its own.
    std::vector<DocumentReader> objects(std::string_view field);

    /// Reports fields outside the given names: most often a misspelt one, which would otherwise be ignored in silence.
    void allowOnly(std::initializer_list<std::string_view> names);

    /// Adds an error at a field of this object.
    void fail(std::string_view field, std::string_view message);

    /// Path of this object in the file.
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
