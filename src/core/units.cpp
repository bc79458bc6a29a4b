// Parses and formats durations and timestamps.
#include "chicoryrouter/units.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <ctime>

namespace chicoryrouter {

namespace {

struct time_unit
{
    std::string_view suffix;
    std::int64_t microseconds;
};

constexpr std::array<time_unit, 5> units = {{{"h", 3'600'000'000}, {"min", 60'000'000}, {"s", 1'000'000}, {"ms", 1'000}, {"us", 1}}};
constexpr std::int64_t maxFractionDigits = 6;                   // of a duration; further digits are ignored
constexpr std::int64_t maxMicroseconds = 1'000'000'000'000'000; // about 31 years; far below the 64-bit limit, so count times unit cannot overflow

// Removes a decimal fraction such as ".25" from the front of `text` and returns it as part of `unit`, rounded down. nullopt: a point without
// digits.
std::optional<std::int64_t> takeFraction(std::string_view &text, std::int64_t unit)
{
    if (text.empty() || text.front() != '.') {
        return 0;
    }
    text.remove_prefix(1);
    std::int64_t digits = 0;
    std::int64_t scale = 1;
    const std::size_t length = std::min(text.find_first_not_of("0123456789"), text.size());
    for (std::size_t i = 0; i < length && i < maxFractionDigits; ++i) {
        digits = digits * 10 + (text[i] - '0');
        scale *= 10;
    }
    text.remove_prefix(length);
    return length == 0 ? std::nullopt : std::optional(unit / scale * digits + unit % scale * digits / scale);
}

} // namespace

std::optional<duration> parseDuration(std::string_view text)
{
    std::int64_t count = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (fault != std::errc() || count < 0) {
        return std::nullopt;
    }
    const std::string_view rest = text.substr(static_cast<std::size_t>(end - text.data()));
    for (const time_unit &unit : units) {
        std::string_view suffix = rest;
        const std::optional<std::int64_t> fraction = takeFraction(suffix, unit.microseconds);
        if (fraction && suffix == unit.suffix && count < maxMicroseconds / unit.microseconds) {
            return duration(count * unit.microseconds + *fraction);
        }
    }
    return std::nullopt;
}

std::optional<time_point> parseTimestamp(std::string_view text)
{
    std::tm parts{};
    int used = 0;
    const std::string copy(text);
    const int fields = std::sscanf(copy.c_str(), "%4d-%2d-%2dT%2d:%2d:%2dZ%n", // NOLINT(cert-err34-c)
        &parts.tm_year, &parts.tm_mon, &parts.tm_mday, &parts.tm_hour, &parts.tm_min, &parts.tm_sec, &used);
    if (fields != 6 || static_cast<std::size_t>(used) != text.size()) {
        return std::nullopt;
    }
    const auto day
        = std::chrono::year(parts.tm_year) / std::chrono::month(static_cast<unsigned>(parts.tm_mon)) / std::chrono::day(static_cast<unsigned>(parts.tm_mday));
    if (!day.ok() || parts.tm_hour > 23 || parts.tm_min > 59 || parts.tm_sec > 59) {
        return std::nullopt;
    }
    return time_point(std::chrono::sys_days(day)) + std::chrono::hours(parts.tm_hour) + std::chrono::minutes(parts.tm_min) + std::chrono::seconds(parts.tm_sec);
}

std::string toText(duration span)
{
    for (const time_unit &unit : units) {
        if (span.count() != 0 && span.count() % unit.microseconds == 0) {
            return std::to_string(span.count() / unit.microseconds) + std::string(unit.suffix);
        }
    }
    return "0s";
}

std::int64_t inMilliseconds(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

std::string formatTimestampMs(time_point moment)
{
    const auto whole = std::chrono::floor<std::chrono::seconds>(moment);
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(moment - whole).count();
    std::string text = formatTimestamp(moment);
    const std::string digits = std::to_string(milliseconds + 1000).substr(1);
    text.insert(text.size() - 1, "." + digits); // before the final Z
    return text;
}

std::string formatTimestamp(time_point moment)
{
    const std::time_t seconds = std::chrono::floor<std::chrono::seconds>(moment).time_since_epoch().count();
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return {text.data(), length};
}

} // namespace chicoryrouter
