// The operators' console: one page of forms, served as it is.
#pragma once

#include <string>

namespace chicoryrouter {

std::string consolePage(); // HTML with its styles and scripts; no other asset is needed

} // namespace chicoryrouter
