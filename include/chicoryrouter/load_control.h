// Whether load control is in force: placing by predicted waits, load told between daemons, refusals under overload by rank, and account limits
// by rank. For deployments whose endpoints share their instances with other work, so that requests waiting there don't tell how long one waits.
//
// The setting `load_control` decides: `on`, `off`, or `auto` (the default), which means on as soon as an endpoint has stated how fast it is at
// the moment (stated_load::pacePercent), to this daemon or to one that told it. Thread-safe.
#pragma once

#include <atomic>
#include <cstdint>

namespace chicoryrouter {

enum class load_control_mode : std::uint8_t {
    Auto, // on from the first pace that an endpoint states
    On,
    Off,
};

class load_control
{
public:
    explicit load_control(load_control_mode mode = load_control_mode::Auto) { setMode(mode); }

    void setMode(load_control_mode mode); // before the first request
    void onStatedPace();                  // any thread: an endpoint stated its pace, or another daemon told it
    [[nodiscard]] bool isOn() const { return m_on.load(std::memory_order_relaxed); }

private:
    load_control_mode m_mode = load_control_mode::Auto;
    std::atomic<bool> m_on{false}; // never reset but by setMode()
};

} // namespace chicoryrouter
