// Metrics by Boost.Accumulators.
#include "shell/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <map>
#include <mutex>
#include <sstream>

namespace chicoryrouter {

namespace acc = boost::accumulators;

namespace {

constexpr std::array<double, 3> quantiles = {0.5, 0.95, 0.99};
using latency_accumulator = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square_quantile>>;

latency_accumulator makeAccumulator()
{
    return latency_accumulator(acc::extended_p_square_probabilities = quantiles);
}

} // namespace

struct metrics::latencies
{
    std::mutex lock;
    std::map<std::string, latency_accumulator, std::less<>> byRoute;
    std::map<std::string, double, std::less<>> gauges;
};

metrics::metrics()
    : m_latencies(std::make_unique<latencies>())
{
}

metrics::~metrics() = default;

void metrics::observeFirstToken(std::string_view route, duration span)
{
    const std::lock_guard guard(m_latencies->lock);
    auto found = m_latencies->byRoute.find(route);
    if (found == m_latencies->byRoute.end()) {
        found = m_latencies->byRoute.emplace(std::string(route), makeAccumulator()).first;
    }
    found->second(std::chrono::duration<double>(span).count());
}

void metrics::setGauge(std::string_view name, double value)
{
    const std::lock_guard guard(m_latencies->lock);
    m_latencies->gauges[std::string(name)] = value;
}

std::string metrics::text() const
{
    std::ostringstream out;
    out << "chicoryrouter_answers_total " << m_answers << "\n";
    out << "chicoryrouter_attempts_total " << m_attempts << "\n";
    out << "chicoryrouter_tokens_total " << m_tokens << "\n";
    out << "chicoryrouter_recomputed_tokens_total " << m_recomputed << "\n";
    out << "chicoryrouter_streams_moved_total " << m_moved << "\n";
    for (std::size_t i = 0; i < m_failures.size(); ++i) {
        out << "chicoryrouter_failures_total{kind=\"" << answerFor(static_cast<error_kind>(i)).name << "\"} " << m_failures.at(i) << "\n";
    }
    const std::lock_guard guard(m_latencies->lock);
    for (const auto &[name, value] : m_latencies->gauges) {
        out << "chicoryrouter_" << name << " " << value << "\n";
    }
    for (const auto &[route, accumulator] : m_latencies->byRoute) {
        for (const double quantile : quantiles) {
            out << "chicoryrouter_first_token_seconds{route=\"" << route << "\",quantile=\"" << quantile << "\"} "
                << acc::quantile(accumulator, acc::quantile_probability = quantile) << "\n";
        }
        out << "chicoryrouter_first_token_seconds_sum{route=\"" << route << "\"} " << acc::sum(accumulator) << "\n";
        out << "chicoryrouter_first_token_seconds_count{route=\"" << route << "\"} " << acc::count(accumulator) << "\n";
    }
    return out.str();
}

} // namespace chicoryrouter
