// Reads a refusal back from the form in which instances write it.
//
//   throw ParseRefusal(body, ResultCode::PeerLost);

#pragma once

#include "rattanweir/base/result/result_code.h"

#include <string>

namespace rattanweir {

// The error in a refusal's JSON body. A text that is no refusal becomes an
// error with `aOtherwise`.
RequestError
ParseRefusal(const std::string& aJson, ResultCode aOtherwise);

} // namespace rattanweir
