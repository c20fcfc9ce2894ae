#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>

#include "shuntjunction/state/clock.h"

/// Objects as the platform holds them.
namespace shuntjunction::state {

class JsonReader;

/// An object as the platform holds it.
struct RawObject
{
  std::string mKey;
  std::uint64_t mRevision = 0; ///< platform revision of its last change
  std::string mValue;          ///< JSON text; empty when it was deleted
  /// For how long it is known to whoever told of it; no part of what it says.
  Millis mAge{ 0 };

  bool operator==(const RawObject& aOther) const
  {
    return mKey == aOther.mKey && mRevision == aOther.mRevision &&
           mValue == aOther.mValue;
  }
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
