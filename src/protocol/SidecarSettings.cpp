// Parses and validates a sidecar's settings.
#include "protocol/SidecarSettings.h"

#include "protocol/JsonReader.h"
#include "protocol/NetworkAddress.h"
#include "protocol/SettingsFile.h"

#include <nlohmann/json.hpp>

namespace Ebonystack {
namespace {

constexpr std::uint64_t maxPort = 65535;

void readAddress(JsonObjectReader& reader, std::string_view key, std::string& target)
{
    reader.text(key, target, { 1, 64 });
    if (!target.empty() && !isNetworkAddress(target))
        reader.addProblem(ResultCode::FieldOutOfRange, key, networkAddressFormatHint);
}

void readPort(JsonObjectReader& reader, std::string_view key, std::uint16_t& target, Presence presence)
{
    std::uint32_t port = target;
    reader.integer(key, port, { presence == Presence::Required ? 1U : 0U, maxPort }, presence);
    target = static_cast<std::uint16_t>(port);
}

} // namespace

tl::expected<SidecarSettings, Problems> parseSidecarSettings(std::string_view text)
{
    Problems problems;
    const auto json = parseDocument(text, problems);
    if (!json)
        return tl::make_unexpected(std::move(problems));
    SidecarSettings settings;
    JsonObjectReader reader(*json, "", problems);
    reader.text("vm", settings.vm.text);
    reader.text("name", settings.name, {}, Presence::Optional);
    reader.text("dataCentre", settings.dataCentre.text);
    reader.text("service", settings.service.text);
    readAddress(reader, "upstreamAddress", settings.upstreamAddress);
    readAddress(reader, "callerAddress", settings.callerAddress);
    readAddress(reader, "readinessAddress", settings.readinessAddress);
    readAddress(reader, "storeAddress", settings.storeAddress);
    readPort(reader, "peerPort", settings.peerPort, Presence::Required);
    readPort(reader, "metricsPort", settings.metricsPort, Presence::Optional);
    reader.integer("memoryMegabytes", settings.memoryMegabytes, { 16, 1 << 20 }, Presence::Optional);
    reader.integer("descriptors", settings.descriptors, { 64, 1 << 24 }, Presence::Optional);
    reader.duration("grace", settings.grace, Presence::Optional);
    reader.duration("drain", settings.drain, Presence::Optional);
    reader.duration("heartbeat", settings.heartbeat, Presence::Optional);
    reader.number("repeatRatio", settings.repeatRatio, { 0, 10 }, Presence::Optional);
    reader.duration("repeatWindow", settings.repeatWindow, Presence::Optional);
    reader.number("extraRepeats", settings.extraRepeats, { 0, 1e6 }, Presence::Optional);
    reader.text("logLevel", settings.logLevel, {}, Presence::Optional);
    reader.finish();
    if (settings.repeatWindow <= Duration::zero())
        reader.addProblem(ResultCode::FieldOutOfRange, "repeatWindow", "must be above 0");
    if (!problems.empty())
        return tl::make_unexpected(std::move(problems));
    return settings;
}

tl::expected<SidecarSettings, Problems> loadSidecarSettings(const std::string& file)
{
    const auto text = readSettingsFile(file);
    if (!text)
        return tl::make_unexpected(text.error());
    return parseSidecarSettings(*text);
}

} // namespace Ebonystack
