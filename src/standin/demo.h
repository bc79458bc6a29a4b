// The demo's deployment and its scenes.
#pragma once

#include <iosfwd>

namespace chicoryrouter {

bool playDemo(std::ostream &out); // true when every answer was whole and right

} // namespace chicoryrouter
