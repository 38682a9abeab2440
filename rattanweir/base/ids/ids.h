// Strong types for identifiers.
//
// Each kind of identifier is its own type, so that a route's id cannot be
// passed where a client account's id is expected.
//
//   ClientAccountId account("skogstund-parents");
//   std::string text = account.Value();
//
// Ids are value types that compare, sort and hash by their text.

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace rattanweir {

// A string identifier. `Tag` only distinguishes the types.
template<class Tag>
class Id
{
public:
  Id() = default;
  explicit Id(std::string aValue)
    : m_value(std::move(aValue))
  {
  }

  const std::string& Value() const { return m_value; }
  bool IsEmpty() const { return m_value.empty(); }

  friend auto operator<=>(const Id&, const Id&) = default;
  friend std::ostream& operator<<(std::ostream& aOut, const Id& aId)
  {
    return aOut << aId.m_value;
  }

private:
  std::string m_value;
};

using ClientAccountId = Id<struct ClientAccountTag>;
using KeyId = Id<struct KeyTag>;
using RouteId = Id<struct RouteTag>;
using BackendServerId = Id<struct BackendServerTag>;
using PoolId = Id<struct PoolTag>;
using ModelId = Id<struct ModelTag>;
using RegionId = Id<struct RegionTag>;
using AvailabilityZoneId = Id<struct AvailabilityZoneTag>;
using InstanceId = Id<struct InstanceTag>;

// Identifies one request. The entry instance assigns the id; retries and hops
// keep it.
using RequestId = Id<struct RequestTag>;

// Identifies one attempt of a request at one backend server.
using AttemptId = Id<struct AttemptTag>;

// Identifies one lease of a share of an account's rate.
using LeaseId = Id<struct LeaseTag>;

// A strongly typed unsigned integer. `Tag` only distinguishes the types.
template<class Tag>
class Number
{
public:
  Number() = default;
  explicit constexpr Number(std::uint64_t aValue)
    : m_value(aValue)
  {
  }

  constexpr std::uint64_t Value() const { return m_value; }

  friend auto operator<=>(const Number&, const Number&) = default;
  friend std::ostream& operator<<(std::ostream& aOut, const Number& aNumber)
  {
    return aOut << aNumber.m_value;
  }

private:
  std::uint64_t m_value = 0;
};

// Identifies one run of an instance's process. Random, generated when the
// process starts; incarnations are compared for equality only.
using Incarnation = Number<struct IncarnationTag>;

// The version of one configuration section; a higher one is newer.
using SectionVersion = Number<struct SectionVersionTag>;

} // namespace rattanweir

template<class Tag>
struct std::hash<rattanweir::Id<Tag>>
{
  std::size_t operator()(const rattanweir::Id<Tag>& aId) const
  {
    return std::hash<std::string>()(aId.Value());
  }
};

template<class Tag>
struct std::hash<rattanweir::Number<Tag>>
{
  std::size_t operator()(const rattanweir::Number<Tag>& aNumber) const
  {
    return std::hash<std::uint64_t>()(aNumber.Value());
  }
};
