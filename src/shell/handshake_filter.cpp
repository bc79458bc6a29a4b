// A socket filter of the kernel's classic packet filter. Connections accepted from the socket inherit it, and it passes all their packets.
#include "shell/handshake_filter.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <array>

namespace chicoryrouter {

namespace {

constexpr unsigned tcpFlagsOffset = 13; // in the TCP header, where the filter's view of a packet starts
constexpr unsigned synFlag = 0x02;
constexpr unsigned ackFlag = 0x10;
constexpr unsigned wholePacket = 0xffffffff;
constexpr unsigned noPacket = 0;

} // namespace

bool dropNewHandshakes(int listeningSocket)
{
    std::array<sock_filter, 5> program{{
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, tcpFlagsOffset),
        BPF_STMT(BPF_ALU | BPF_AND | BPF_K, synFlag | ackFlag),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, synFlag, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, noPacket),
        BPF_STMT(BPF_RET | BPF_K, wholePacket),
    }};
    const sock_fprog attached{static_cast<unsigned short>(program.size()), program.data()};
    return setsockopt(listeningSocket, SOL_SOCKET, SO_ATTACH_FILTER, &attached, sizeof(attached)) == 0;
}

} // namespace chicoryrouter
