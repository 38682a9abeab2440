// What both sources do with a text that they have read.

#pragma once

#include "rattanweir/connection/platform/platform.h"

namespace rattanweir {

// Offers a section to the catalog; logs and counts a rejected one. Accepted
// ones are logged by who learns of them from the catalog, as some come from
// peers.
OfferOutcome
OfferSection(const PlatformOptions& aOptions, const SectionOffer& aOffer);

// Applies an instance list; a faulty one changes nothing and is logged and
// counted.
void
ApplyInstanceList(const PlatformOptions& aOptions, const SectionText& aText);

// Logs and counts a read that failed.
void
ReportReadFailure(const PlatformOptions& aOptions,
            const std::string& aSourceName,
            const std::string& aCause);

} // namespace rattanweir
