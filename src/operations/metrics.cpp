#include "operations/metrics.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

namespace bamboohold {

namespace {

/// Maximum number of label combinations of a counter.
constexpr std::size_t s_maxLabelCombinations = 1000;

using Values = std::map<std::string, std::map<std::string, std::int64_t>, std::less<>>;

void appendValues(std::string &text, const Values &values, std::string_view type)
{
    for (const auto &[series, byLabel] : values) {
        absl::StrAppend(&text, "# TYPE ", series, " ", std::string(type), "\n");
        for (const auto &[label, value] : byLabel) {
            absl::StrAppend(&text, series, "{", label, "} ", value, "\n");
        }
    }
}

std::int64_t &valueFor(Values &values, std::string_view series, std::string label)
{
    auto found = values.find(series);
    if (found == values.end()) {
        found = values.try_emplace(std::string(series)).first;
    }
    return found->second[std::move(label)];
}

}

std::string Metrics::labelText(std::span<const MetricLabel> labels)
{
    std::string text;
    for (const MetricLabel &label : labels) {
        const std::string value = absl::StrReplaceAll(std::string(label.value), {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}});
        absl::StrAppend(&text, text.empty() ? "" : ",", std::string(label.name), "=\"", value, "\"");
    }
    return text;
}

void Metrics::count(std::string_view series, MetricLabel label, std::int64_t amount)
{
    count(series, std::span(&label, 1), amount);
}

void Metrics::count(std::string_view series, std::span<const MetricLabel> labels, std::int64_t amount)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_counters.find(series);
    std::string text = labelText(labels);
    const bool full = found != m_counters.end() && found->second.size() >= s_maxLabelCombinations && !found->second.contains(text);
    if (full) {
        const MetricLabel other{.name = labels.front().name, .value = "other"};
        text = labelText(std::span(&other, 1));
    }
    valueFor(m_counters, series, std::move(text)) += amount;
}

void Metrics::gauge(std::string_view series, MetricLabel label, std::int64_t value)
{
    const std::lock_guard lock(m_mutex);
    valueFor(m_gauges, series, labelText(std::span(&label, 1))) = value;
}

void Metrics::removeGauge(std::string_view series, MetricLabel label)
{
    const std::lock_guard lock(m_mutex);
    if (const auto found = m_gauges.find(series); found != m_gauges.end()) {
        found->second.erase(labelText(std::span(&label, 1)));
    }
}

void Metrics::observe(std::string_view series, MetricLabel label, double seconds)
{
    const std::lock_guard lock(m_mutex);
    auto found = m_histograms.find(series);
    if (found == m_histograms.end()) {
        found = m_histograms.try_emplace(std::string(series)).first;
    }
    found->second[labelText(std::span(&label, 1))](seconds);
}

std::string Metrics::text() const
{
    const std::lock_guard lock(m_mutex);
    std::string text;
    appendValues(text, m_counters, "counter");
    appendValues(text, m_gauges, "gauge");
    for (const auto &[series, byLabel] : m_histograms) {
        absl::StrAppend(&text, "# TYPE ", series, " histogram\n");
        for (const auto &[label, histogram] : byLabel) {
            const auto counts = s_bucketCounts(histogram);
            const std::size_t total = boost::accumulators::count(histogram);
            for (std::size_t index = 0; index < counts.size(); ++index) {
                absl::StrAppend(&text, series, "_bucket{", label, ",le=\"", s_bucketBounds[index], "\"} ", counts[index], "\n");
            }
            absl::StrAppend(&text, series, "_bucket{", label, ",le=\"+Inf\"} ", total, "\n");
            absl::StrAppend(&text, series, "_sum{", label, "} ", boost::accumulators::sum(histogram), "\n");
            absl::StrAppend(&text, series, "_count{", label, "} ", total, "\n");
        }
    }
    return text;
}

}
