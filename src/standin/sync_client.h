// A blocking HTTP client for the demo, the command line, tests and benchmarks. It runs one call at a time, with the I/O on the calling thread.
#pragma once

#include "shell/http.h"

#include <boost/asio/io_context.hpp>

namespace chicoryrouter {

class sync_client
{
public:
    // Throws http_failure if the call fails or times out.
    http_response call(const address &server, http_call request, duration timeout = std::chrono::seconds(30));

    // Like call(), but returns the part received so far if the response is cut short. Stops reading and disconnects itself once the body has
    // at least `stopAfter` bytes.
    struct partial_response
    {
        http_response response;
        bool complete = false; // true if the response was received to its end
    };
    partial_response callAllowingPartial(
        const address &server, http_call request, std::size_t stopAfter = SIZE_MAX, duration timeout = std::chrono::seconds(30));

private:
    boost::asio::io_context m_context;
};

http_headers bearer(const std::string &token);         // an Authorization header with a bearer token
std::string streamedText(const std::string &events);   // concatenates the token texts of an event stream
std::size_t streamedTokens(const std::string &events); // counts complete events only
bool streamEnded(const std::string &events);           // true if the stream contains the final [DONE] event

} // namespace chicoryrouter
