// Product's own interface: handles the texts that the directory and the service
// reader have read, and failed reads.

#pragma once

#include "rattanweir/connection/platform/platform.h"

namespace rattanweir {

// Offers a section to the catalog; logs and counts a rejected section. Accepted
// sections are logged by the catalog's listeners, since some come from peers.
OfferOutcome
OfferSection(const PlatformOptions& aOptions, const SectionOffer& aOffer);

// Applies an instance list. An invalid list changes nothing, and is logged and
// counted.
void
ApplyInstanceList(const PlatformOptions& aOptions, const SectionText& aText);

// Logs and counts a failed read.
void
ReportReadFailure(const PlatformOptions& aOptions,
                  const std::string& aSourceName,
                  const std::string& aCause);

} // namespace rattanweir
