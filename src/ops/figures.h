// A node's figures under the operators' names: the one place where these are translated.
#pragma once

#include <string>

#include "net/counters.h"

namespace troutstage::ops {

std::string figures_text(const net::NodeMetrics& metrics);  // JSON

}  // namespace troutstage::ops
