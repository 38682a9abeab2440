#include "rattanweir/version/section/internal/section_reader.h"

#include <algorithm>

namespace rattanweir::internal {
namespace {

constexpr std::size_t kSha256Digits = 64;
// The SHA-256 of an empty string, which a script publishes if its variable for
// the key is unset.
constexpr std::string_view kEmptyTextHash =
  "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";

bool
IsLowerHexDigit(char aCharacter)
{
  return (aCharacter >= '0' && aCharacter <= '9') ||
         (aCharacter >= 'a' && aCharacter <= 'f');
}

KeyHash
ReadKeyHash(MappingReader& aRow)
{
  const std::string hex = aRow.ReadText("sha256");
  const bool isDigest = hex.size() == kSha256Digits &&
                        std::all_of(hex.begin(), hex.end(), IsLowerHexDigit);
  if (!hex.empty() && !isDigest) {
    // The message omits the value, which may be the key itself.
    aRow.AddFault("sha256", "is not 64 lower-case hexadecimal digits");
  }
  if (hex == kEmptyTextHash) {
    aRow.AddFault("sha256", "is the SHA-256 of an empty string");
  }
  return { .m_hex = hex };
}

} // namespace

KeysSection
ReadKeys(MappingReader& aSection)
{
  KeysSection section;
  UniqueValues ids;
  UniqueValues hashes;
  aSection.ReadRows("keys", [&](MappingReader& aRow) {
    KeyGrant grant{
      .m_id = aRow.ReadId<KeyId>("id"),
      .m_clientAccount = aRow.ReadId<ClientAccountId>("client_account"),
      .m_hash = ReadKeyHash(aRow),
    };
    ids.Check(aRow, "id", grant.m_id.Value(), "id");
    hashes.Check(aRow, "sha256", grant.m_hash.m_hex, "hash");
    section.m_keys.push_back(std::move(grant));
  });
  return section;
}

} // namespace rattanweir::internal
