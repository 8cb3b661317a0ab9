#include "members/wire.h"

#include <type_traits>

namespace troutstage::members {
namespace {

template <std::size_t N = 0>
Body read_body(std::size_t kind, const msgpack::object& from) {
  if constexpr (N == std::variant_size_v<Body>) {
    throw std::runtime_error("unknown kind");
  } else {
    if (kind != N) return read_body<N + 1>(kind, from);
    return from.as<std::variant_alternative_t<N, Body>>();
  }
}

}  // namespace

std::string encode(const Message& m) {
  msgpack::sbuffer buffer(kMostDatagram);
  msgpack::packer<msgpack::sbuffer> out(buffer);
  out.pack_array(9);
  out.pack(kVersion).pack(m.header.cluster).pack(static_cast<std::uint32_t>(m.body.index()));
  out.pack(m.header.from).pack(m.header.life).pack(m.header.refuted).pack(m.header.number).pack(m.header.age);
  std::visit([&](const auto& body) { out.pack(body); }, m.body);
  return {buffer.data(), buffer.size()};
}

std::variant<Message, Dropped> decode(std::string_view bytes, std::uint32_t cluster) {
  if (bytes.size() > kMostDatagram) return Dropped::too_long;
  try {
    const auto handle = unpack(bytes);
    const msgpack::object& all = handle.get();
    if (all.type != msgpack::type::ARRAY || all.via.array.size < 2) return Dropped::unreadable;
    if (all.via.array.ptr[0].as<std::uint32_t>() != kVersion) return Dropped::version;
    if (all.via.array.ptr[1].as<std::uint32_t>() != cluster) return Dropped::cluster;
    const Fields fields(all, 9);
    Message m;
    std::uint32_t kind = 0;
    m.header.cluster = cluster;
    fields.get(2, kind), fields.get(3, m.header.from), fields.get(4, m.header.life);
    fields.get(5, m.header.refuted), fields.get(6, m.header.number), fields.get(7, m.header.age);
    m.body = read_body(kind, all.via.array.ptr[8]);
    return m;
  } catch (const std::exception&) {  // what msgpack throws of bytes that are no message
    return Dropped::unreadable;
  }
}

}  // namespace troutstage::members
