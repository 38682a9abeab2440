// Decodes the path and the query parameters of a request target.
//
//   const AdminQuery query = ParseAdminTarget("/explain?route=quote%2Fnew");
//   query.m_path;                 // "/explain"
//   query.Require("route");       // "quote/new"
//
// Thread-safe.

#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace rattanweir {

struct AdminQuery
{
  std::string m_path;
  std::map<std::string, std::string> m_parameters;

  // Returns the value of the parameter, or nullopt if it is missing.
  std::optional<std::string> Find(const std::string& aName) const;

  // Returns the value of the parameter. Throws RequestError with
  // MalformedRequest if it is missing.
  std::string Require(const std::string& aName) const;
};

// Throws RequestError with MalformedRequest if a percent escape is invalid or a
// parameter occurs twice.
AdminQuery
ParseAdminTarget(std::string_view aTarget);

} // namespace rattanweir
