// Structured log lines: one JSON object each, of a kind from the table in log_events.h, with the facts beside its sentence.
//
// Lines go through a bounded queue to one writing thread, which also puts them into JSON, so a slow disk or terminal never holds up a
// request. Each kind has so many lines a second; what goes over is counted and said. When the queue is full, lines are dropped and counted.
#pragma once

#include "shell/log_events.h"

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chicoryrouter {

// One fact of a line. The name must outlive the process: a literal.
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

void startLog(std::string_view level, const std::string &file, unsigned linesPerSecond = 500); // once per process; an empty file is standard output
void setLogLevel(std::string_view level);                                                      // any thread: error, warning, info or debug
void stopLog();                                                                                // writes what is queued; call before the process ends
bool isLogged(log_event event);                                                                     // whether lines of this kind are written
void logRequestEvent(log_event event, const std::string &request, log_fields fields);                // the same for one request, which is named first
void logEvent(log_event event, log_fields fields);                                              // any thread
std::string logText(log_event event, log_fields fields);                                        // the same as words, for people
unsigned long droppedLogLines();                                                               // for want of room in the queue
unsigned long suppressedLogLines();                                                               // for want of lines of their kind
std::string logEventsDocument();                                                               // docs/LOGS.md

} // namespace chicoryrouter
