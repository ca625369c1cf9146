#include "cli/output.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <iostream>

namespace bamboohold {

namespace {

std::string cellText(const boost::json::value &row, const std::string &column)
{
    const auto *value = row.get_object().if_contains(column);
    if (value == nullptr) {
        return "-";
    }
    return value->is_string() ? std::string(value->get_string()) : boost::json::serialize(*value);
}

bool isNumber(const boost::json::value &row, const std::string &column)
{
    const auto *value = row.get_object().if_contains(column);
    return value != nullptr && value->is_number();
}

std::string padCell(const std::string &text, std::size_t width, bool alignRight)
{
    const std::string fill(width - std::min(width, text.size()), ' ');
    return alignRight ? fill + text : text + fill;
}

}

void printRows(const boost::json::array &rows, const std::vector<std::string> &columns, const Arguments &arguments)
{
    if (arguments.output == "json") {
        std::cout << boost::json::serialize(rows) << "\n";
        return;
    }
    std::vector<std::size_t> widths;
    for (const std::string &column : columns) {
        std::size_t width = column.size();
        for (const boost::json::value &row : rows) {
            width = std::max(width, cellText(row, column).size());
        }
        widths.push_back(width);
    }
    const auto printLine = [&](const auto &cell, const auto &alignRight) {
        for (std::size_t index = 0; index < columns.size(); ++index) {
            std::cout << (index == 0 ? "" : "  ") << padCell(cell(columns[index]), widths[index], alignRight(columns[index]));
        }
        std::cout << "\n";
    };
    const auto rightAligned = [&rows](const std::string &column) {
        return !rows.empty() && isNumber(rows.front(), column);
    };
    printLine(
        [](const std::string &column) {
            return column;
        },
        rightAligned);
    for (const boost::json::value &row : rows) {
        printLine(
            [&row](const std::string &column) {
                return cellText(row, column);
            },
            rightAligned);
    }
}

ExitCode reportFailure(const Failure &failure)
{
    std::cerr << "bamboohold: " << failureName(failure.kind) << ": " << failure.detail << "\n";
    switch (failure.kind) {
    case FailureKind::InvalidSetting:
    case FailureKind::InvalidDocument:
    case FailureKind::InvalidRequest:
        return ExitCode::Usage;
    case FailureKind::TableConflict:
        return ExitCode::Conflict;
    case FailureKind::TableUnreachable:
    case FailureKind::ObjectUnreachable:
        return ExitCode::Unreachable;
    default:
        return ExitCode::Failed;
    }
}

}
