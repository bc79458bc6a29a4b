// Stops new TCP handshakes at a listening socket and lets those finish that have begun.
#pragma once

namespace chicoryrouter {

// From now on the kernel drops packets that open a connection to `listeningSocket`; their senders try again later. false: not supported here,
// and nothing has changed.
bool dropNewHandshakes(int listeningSocket);

} // namespace chicoryrouter
