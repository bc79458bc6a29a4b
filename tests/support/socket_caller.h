// A caller below HTTP, on a socket of its own: it knows whether it was connected, whether its request was written, and how its connection ended.
#pragma once

#include "chicoryrouter/endpoint.h"
#include "shell/clock.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <string>
#include <string_view>

namespace chicoryrouter::test {

// The head of a request to a small_deployment; `more`: further headers, each with its line end.
inline std::string requestHead(const std::string &method, const std::string &target, const std::string &id, const std::string &more = {})
{
    return method + " " + target + " HTTP/1.1\r\nHost: tassel.example\r\nX-Request-Id: " + id + "\r\nX-Api-Key: key-1\r\nX-Deadline-Ms: 10000\r\n" + more
        + "\r\n";
}

enum class answer_end {
    Whole,
    Ended, // the connection was closed before the answer was whole
    Reset,
    TimedOut,
};

struct socket_answer
{
    answer_end end = answer_end::TimedOut;
    int status = 0; // 0: no status line
    std::string bytes;

    [[nodiscard]] bool isWhole() const { return end == answer_end::Whole; }
    [[nodiscard]] bool saysClose() const { return bytes.find("Connection: close\r\n") != std::string::npos; }

    [[nodiscard]] std::string text() const
    {
        constexpr const char *names[] = {"whole", "ended", "reset", "timed out"};
        return std::string(names[static_cast<int>(end)]) + ", status " + std::to_string(status) + ", " + std::to_string(bytes.size()) + " bytes";
    }
};

class socket_caller
{
public:
    socket_caller() = default;
    ~socket_caller() { close(); }
    socket_caller(const socket_caller &) = delete;
    socket_caller &operator=(const socket_caller &) = delete;

    // false: nobody took the connection.
    bool connect(const address &where)
    {
        close();
        m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const timeval longest{15, 0};
        setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &longest, sizeof(longest));
        setsockopt(m_socket, SOL_SOCKET, SO_SNDTIMEO, &longest, sizeof(longest));
        sockaddr_in place{};
        place.sin_family = AF_INET;
        place.sin_port = htons(where.port);
        inet_pton(AF_INET, where.ip.c_str(), &place.sin_addr);
        return ::connect(m_socket, reinterpret_cast<sockaddr *>(&place), sizeof(place)) == 0;
    }

    // false: the connection had ended before all was written.
    bool send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const ssize_t written = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (written <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(written));
        }
        return true;
    }

    // Whether anything has come, or the connection has ended.
    [[nodiscard]] bool hasInput() const
    {
        char next = 0;
        return ::recv(m_socket, &next, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }

    // What comes next, at most `size` bytes: their number, 0 at the end of the connection, negative at an error or after 15 s of silence.
    ssize_t readSome(char *buffer, std::size_t size) { return ::recv(m_socket, buffer, size, 0); }

    socket_answer readAnswer()
    {
        socket_answer answer;
        while (!isWhole(answer.bytes)) {
            char buffer[4096];
            const ssize_t got = readSome(buffer, sizeof(buffer));
            if (got <= 0) {
                const bool late = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
                const answer_end broken = late ? answer_end::TimedOut : answer_end::Reset;
                answer.end = got == 0 ? answer_end::Ended : broken;
                return answer;
            }
            answer.bytes.append(buffer, static_cast<std::size_t>(got));
            answer.status = statusOf(answer.bytes);
        }
        answer.end = answer_end::Whole;
        return answer;
    }

    void close()
    {
        if (m_socket >= 0) {
            ::close(m_socket);
        }
        m_socket = -1;
    }

private:
    static int statusOf(const std::string &bytes)
    {
        constexpr std::string_view start = "HTTP/1.1 ";
        return bytes.size() > start.size() + 3 && bytes.rfind(start, 0) == 0 ? std::stoi(bytes.substr(start.size(), 3)) : 0;
    }

    static bool isWhole(const std::string &bytes)
    {
        const std::size_t head = bytes.find("\r\n\r\n");
        if (head == std::string::npos) {
            return false;
        }
        constexpr std::string_view lengthName = "Content-Length: ";
        const std::size_t length = bytes.find(lengthName);
        if (length < head) {
            return bytes.size() >= head + 4 + std::stoul(bytes.substr(length + lengthName.size()));
        }
        return bytes.size() >= head + 9 && bytes.compare(bytes.size() - 5, 5, "0\r\n\r\n") == 0;
    }

    int m_socket = -1;
};

} // namespace chicoryrouter::test
