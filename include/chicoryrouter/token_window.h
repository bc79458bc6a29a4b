// The tokens that a client account may spend within a sliding window: its rate times the window's length, plus its burst.
//
// A token bucket with the same rate and burst refuses more: it refills the burst only while the account stays below its rate, whereas a
// window's limit includes the burst at all times. Use it where the limit is promised by window, for accounts whose demand stays above the
// rate but within the window's limit.
// What was spent before the start is known only as far as addEarlier() was told. So for one window after the start the account may also spend no
// more than the part of the limit that the time since then is of the window.
// No clock or thread; used on the control strand only.
#pragma once

#include "chicoryrouter/time.h"

#include <cstdint>
#include <deque>

namespace chicoryrouter {

class token_window
{
public:
    token_window(duration length, time_point start);

    // Adds tokens that were spent within one window before `now`, but not reported to update().
    void addEarlier(std::int64_t tokens, time_point now);
    // Adds `spent` tokens at `now` and returns the tokens that may still be spent; below zero if more were spent than the limit allows.
    std::int64_t update(double perSecond, double burst, std::int64_t spent, time_point now);
    // The highest rate, in tokens per second, at which `balance` and what leaves the window last until each moment of the next second. Of
    // what was spent up to `divided`, only the part `share` counts; see sumUntil().
    [[nodiscard]] double rateToBear(std::int64_t balance, double perSecond, double burst, time_point divided, double share, time_point now) const;
    [[nodiscard]] std::int64_t sumUntil(time_point moment, time_point now) const; // spent up to then, within the window; 0 for one window after the start
    [[nodiscard]] duration untilFreed(std::int64_t tokens, time_point now) const; // until that many leave the window; its length if fewer are in it

private:
    void add(std::int64_t tokens, time_point now);

    struct slot
    {
        time_point endsAt{}; // spending up to this moment is summed here
        std::int64_t tokens = 0;
    };

    duration m_length;
    time_point m_start;
    std::deque<slot> m_slots;   // oldest first; all of them within the window
    std::int64_t m_sum = 0;     // of the tokens in m_slots
    std::int64_t m_earlier = 0; // those of m_sum that addEarlier() added; they matter for one window only
};

} // namespace chicoryrouter
