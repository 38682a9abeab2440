// Parses a refusal in the JSON format that instances write.
//
//   throw ParseRefusal(body, ResultCode::PeerLost);

#pragma once

#include "rattanweir/base/result/result_code.h"

#include <string>

namespace rattanweir {

// Returns the error in the JSON body of a refusal, or an error with
// `aFallbackCode` if the text is not a valid refusal.
RequestError
ParseRefusal(const std::string& aJson, ResultCode aFallbackCode);

} // namespace rattanweir
