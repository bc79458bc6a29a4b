// Structured log: each line is one JSON object with an event from the table in log_events.h, its text, and fields with the values.
//
// A bounded queue passes the lines to one writer thread, which also formats the JSON, so a slow disk or terminal never delays a request.
// Each event has a limit of lines per second; lines over the limit are suppressed, counted, and reported by the event lines_left_out.
// When the queue is full, or the output refuses lines, they are dropped, counted, and reported by the event lines_dropped.
#pragma once

#include "shell/log_events.h"

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chicoryrouter {

// A named value of a line. Only a view of the name is kept: pass a string literal.
struct log_field
{
    std::string_view name;
    std::variant<std::string, std::int64_t, double, bool> value;

    log_field(std::string_view fieldName, std::string text)
        : name(fieldName)
        , value(std::move(text))
    {
    }
    log_field(std::string_view fieldName, std::string_view text)
        : name(fieldName)
        , value(std::string(text))
    {
    }
    log_field(std::string_view fieldName, const char *text)
        : name(fieldName)
        , value(std::string(text))
    {
    }
    log_field(std::string_view fieldName, bool flag)
        : name(fieldName)
        , value(flag)
    {
    }
    log_field(std::string_view fieldName, std::integral auto number)
        : name(fieldName)
        , value(static_cast<std::int64_t>(number))
    {
    }
    log_field(std::string_view fieldName, double number)
        : name(fieldName)
        , value(number)
    {
    }
};

using log_fields = std::initializer_list<log_field>;

// Once per process. An empty file name means standard output. The process ignores SIGPIPE and SIGXFSZ.
void startLog(std::string_view level, const std::string &file, unsigned linesPerSecond = 500);
// Call before the process exits. Writes the queued lines and ends the writer thread, within a second. Returns false when the output did not take the
// lines: the thread still runs, so the process must end without running destructors (std::_Exit).
bool stopLog();
void setLogLevel(std::string_view level);                                             // error, warning, info or debug, anything else means info; any thread
bool isLogged(log_event event);                                                       // whether the log runs and the current level includes this event
void logRequestEvent(log_event event, const std::string &request, log_fields fields); // like logEvent(), with "request" as the first field; any thread
void logEvent(log_event event, log_fields fields);                                    // any thread
std::string logText(log_event event, log_fields fields);                              // text and fields as one line for people to read
unsigned long droppedLogLines();                                                      // lines lost because the queue was full or the output refused them
unsigned long suppressedLogLines();                                                   // lines over the rate limit of their event
std::string logEventsDocument();                                                      // the content of docs/LOGS.md

} // namespace chicoryrouter
