// Streams that hold all slots of a small deployment's model service, so that other requests have to wait for one.
#pragma once

#include "support/small_deployment.h"
#include "support/socket_caller.h"

#include <deque>

namespace chicoryrouter::test {

inline constexpr std::size_t slotsOfWriters = 8; // of both endpoints of the model service

// A request for a stream, with a body of five bytes and a deadline beyond every stop.
inline std::string streamRequest(const std::string &id)
{
    return "POST /write/1 HTTP/1.1\r\nHost: tassel.example\r\nX-Request-Id: " + id
        + "\r\nX-Api-Key: key-1\r\nX-Deadline-Ms: 14000\r\nContent-Length: 5\r\n\r\nhello";
}

// The streams outlast every stop. The callers must live as long as the slots are to be taken.
inline void takeAllSlots(small_deployment &all, const address &gateway, std::deque<socket_caller> &callers)
{
    all.writer1.faults.workMillis = 2000; // before the answer and between its events: 14 s in all
    all.writer2.faults.workMillis = 2000;
    callers.resize(slotsOfWriters);
    int number = 0;
    for (socket_caller &caller : callers) {
        cr_assert(caller.connect(gateway));
        cr_assert(caller.send(streamRequest("long-" + std::to_string(++number))));
    }
    cr_assert(eventually([&all] { return all.writer1.open() + all.writer2.open() == slotsOfWriters; }), "the streams did not reach the endpoints");
}

} // namespace chicoryrouter::test
