// Log lines: one short sentence each, behind a fixed prefix for the part that speaks. Lines go through a bounded queue to one writing
// thread, so a slow disk or terminal never holds up a request; when the queue is full, lines are dropped and counted.
#pragma once

#include <string>
#include <string_view>

namespace chicoryrouter {

enum class log_part {
    Route,   // "[route] "  where an attempt goes
    Request, // "[request] " what became of a request
    Config,  // "[config] "
    Member,  // "[member] "
    Move,    // "[move] "
    Place,   // "[place] "
    Load,    // "[load] "
    Claim,   // "[claim] "
    Peer,    // "[peer] "
    Daemon,  // "[daemon] "
    Count
};

enum class log_level {
    Error,
    Warning,
    Info,
    Debug,
};

void startLog(std::string_view level, const std::string &file); // once per process; an empty file is standard output
void stopLog();                                                 // writes what is queued; call before the process ends
bool logs(log_level level);                                     // whether lines of this level are written
void logLine(log_part part, log_level level, std::string text); // any thread
unsigned long droppedLogLines();

} // namespace chicoryrouter
