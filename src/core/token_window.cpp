// Sums spending in slots and drops the slots that have left the window.
#include "chicoryrouter/token_window.h"

#include <algorithm>

namespace chicoryrouter {

namespace {
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

} // namespace chicoryrouter
