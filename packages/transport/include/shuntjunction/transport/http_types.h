#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// HTTP requests and responses as plain data.
namespace shuntjunction::transport {

/// A header field.
struct HttpField
{
  std::string mName;
  std::string mValue;
};

/// A request.
struct HttpRequest
{
  std::string mMethod = "GET";
  std::string mTarget = "/";
  std::vector<HttpField> mFields;
  std::string mContentType;
  std::string mBody;

  /// Value of a field, whatever the case of its name; empty when absent.
  std::string_view Field(std::string_view aName) const;

  /// Target up to the query.
  std::string_view Path() const;

  /// Value of a query parameter, as it stands; empty when absent.
  std::string Query(std::string_view aName) const;
};

/// A whole response.
struct HttpResponse
{
  unsigned mStatus = 200;
  std::string mContentType = "application/json";
  std::vector<HttpField> mFields;
  std::string mBody;
};

} // namespace shuntjunction::transport
