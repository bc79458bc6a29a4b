// The moments of a planned stop of a daemon: how long requests are accepted, begun and waited for, so that each of them has its answer before
// the process ends.
//
// Index
//   stop_bounds . stop_plan . planStop
//
// Load it answers: a stop while every slot is taken, with requests that wait for one and requests that an endpoint holds without answering. The
// platform kills the daemon at the end of its time, so what would wait longer than that has to be refused, or ended, before.
#pragma once

#include "chicoryrouter/time.h"

namespace chicoryrouter {

// What a planned stop asks of open requests; see request_machine::onStopping(). noDeadline: the daemon isn't stopping.
struct stop_bounds
{
    time_point sendUntil = noDeadline;   // what has no attempt open then is refused, or fails; an open attempt may still be hedged or moved
    time_point answerUntil = noDeadline; // a request of which the caller has no piece yet fails then, in time to send the error
};

// In order: serveUntil, bounds.sendUntil, closeAt, bounds.answerUntil, giveUpAt. Short stops make some of them coincide.
struct stop_plan
{
    time_point serveUntil{}; // until then callers may still be routed here, so the daemon listens even without open requests
    stop_bounds bounds;
    time_point closeAt{};  // the listening socket is closed, whatever is open
    time_point giveUpAt{}; // connections that are open then are cut
};

// `stopWithin`: from the stop request until the process must have ended.
stop_plan planStop(time_point requestedAt, duration stopWithin);

} // namespace chicoryrouter
