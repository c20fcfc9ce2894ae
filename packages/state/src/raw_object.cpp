#include "shuntjunction/state/raw_object.h"

#include "shuntjunction/state/json_reader.h"

namespace shuntjunction::state {

boost::json::object
WriteRawObject(const RawObject& aObject)
{
  return { { "key", aObject.mKey },
           { "revision", aObject.mRevision },
           { "value", aObject.mValue } };
}

RawObject
ReadRawObject(JsonReader& aReader)
{
  RawObject object;
  object.mKey = aReader.Text("key");
  object.mRevision =
    static_cast<std::uint64_t>(aReader.Integer("revision", 0, INT64_MAX));
  object.mValue = aReader.Text("value");
  return object;
}

std::vector<RawObject>
ReadRawObjects(JsonReader& aReader, std::string_view aKey)
{
  std::vector<RawObject> objects;
  ReadList(aReader, aKey, [&](JsonReader& aItem) {
    objects.push_back(ReadRawObject(aItem));
  });
  return objects;
}

} // namespace shuntjunction::state
