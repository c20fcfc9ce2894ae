#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>

/// Objects as the platform holds them.
namespace shuntjunction::state {

class JsonReader;

/// An object as the platform holds it.
struct RawObject
{
  std::string mKey;
  std::uint64_t mRevision = 0; ///< platform revision of its last change
  std::string mValue;          ///< JSON text; empty when it was deleted

  bool operator==(const RawObject&) const = default;
};

/// An object as JSON.
boost::json::object
WriteRawObject(const RawObject& aObject);

/// The object that a reader stands on.
RawObject
ReadRawObject(JsonReader& aReader);

/// The list of objects under a key.
std::vector<RawObject>
ReadRawObjects(JsonReader& aReader, std::string_view aKey);

} // namespace shuntjunction::state
