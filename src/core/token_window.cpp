// Sums spending in slots and drops the slots that have left the window.
#include "chicoryrouter/token_window.h"

#include <algorithm>
#include <limits>

namespace chicoryrouter {

namespace {
using namespace std::chrono_literals;

constexpr duration nearHorizon = 400ms; // a rate must not swing with every slot that leaves the window
constexpr duration farHorizon = 1s;     // a longer one would refuse short bursts that fit the limit

constexpr std::int64_t slotsPerWindow = 64; // a slot's spending counts until its end leaves the window, so at most this part of a window too long
} // namespace

token_window::token_window(duration length, time_point start)
    : m_length(length)
    , m_start(start)
{
}

void token_window::add(std::int64_t tokens, time_point now)
{
    if (m_slots.empty() || m_slots.back().endsAt <= now) {
        m_slots.push_back({now + m_length / slotsPerWindow, 0});
    }
    m_slots.back().tokens += tokens;
    m_sum += tokens;
}

void token_window::addEarlier(std::int64_t tokens, time_point now)
{
    add(tokens, now);
    m_earlier += tokens;
}

std::int64_t token_window::update(double perSecond, double burst, std::int64_t spent, time_point now)
{
    add(spent, now);
    while (m_slots.front().endsAt + m_length <= now) {
        m_sum -= m_slots.front().tokens;
        m_slots.pop_front();
    }
    const double limit = perSecond * std::chrono::duration<double>(m_length).count() + burst;
    const std::int64_t remaining = static_cast<std::int64_t>(limit) - m_sum;
    if (now >= m_start + m_length) {
        return remaining;
    }
    const double elapsedPart = std::chrono::duration<double>(now - m_start) / std::chrono::duration<double>(m_length);
    return std::min(remaining, static_cast<std::int64_t>(limit * elapsedPart) - (m_sum - m_earlier));
}

std::int64_t token_window::sumUntil(time_point moment, time_point now) const
{
    std::int64_t sum = 0;
    for (const slot &item : m_slots) {
        sum += now >= m_start + m_length && item.endsAt <= moment ? item.tokens : 0;
    }
    return sum;
}

double token_window::rateToBear(std::int64_t balance, double perSecond, double burst, time_point divided, double share, time_point now) const
{
    const auto seconds = [](duration span) {
        return std::chrono::duration<double>(span).count();
    };
    auto sum = static_cast<double>(balance); // may be spent until the moment that is looked at
    if (now < m_start + m_length) {          // the balance grows evenly, see update()
        const double grows = (perSecond * seconds(m_length) + burst) / seconds(m_length);
        return std::max(sum / seconds(farHorizon) + grows, 0.0);
    }
    double rate = std::numeric_limits<double>::infinity();
    for (const slot &item : m_slots) {
        const duration leaves = item.endsAt + m_length - now;
        if (leaves > farHorizon) {
            break;
        }
        if (leaves > nearHorizon) {
            rate = std::min(rate, sum / seconds(leaves));
        }
        sum += static_cast<double>(item.tokens) * (item.endsAt <= divided ? share : 1.0);
    }
    return std::max(std::min(rate, sum / seconds(farHorizon)), 0.0);
}

duration token_window::untilFreed(std::int64_t tokens, time_point now) const
{
    for (const slot &item : m_slots) {
        if (tokens <= 0) {
            return duration{};
        }
        tokens -= item.tokens;
        if (tokens <= 0) {
            return std::max(item.endsAt + m_length - now, duration{});
        }
    }
    return tokens <= 0 ? duration{} : m_length;
}

} // namespace chicoryrouter
