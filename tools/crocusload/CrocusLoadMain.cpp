// Open-loop load generator: sends work to entry instances through the callers' API at given rates,
// regardless of their answers.

#include <fstream>
#include <iostream>
#include <sstream>
#include <tclap/CmdLine.h>

#include "tools/crocusload/LoadReport.h"

namespace crocuslever::load {

static constexpr int kMaximumSeconds = 120;
static constexpr int kDefaultInFlight = 2000;

namespace {

struct Arguments {
    LoadSettings settings;
    std::string mixFile;
    std::string jsonFile;
};

} // namespace

static Arguments parseArguments(int argc, char** argv)
{
    TCLAP::CmdLine line("Load generator for entry instances", ' ', CROCUSLEVER_VERSION);
    TCLAP::MultiArg<std::string> entries("", "entry", "Endpoint of an entry instance; may be repeated, the instances are used in turn", true, "IP:port", line);
    TCLAP::ValueArg<std::string> mix("", "mix", "File with the streams of work (YAML)", true, "", "file", line);
    TCLAP::ValueArg<int> seconds("", "seconds", "How many seconds work arrives; at most 120", false, 10, "number", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the random arrival times", false, 1, "number", line);
    TCLAP::ValueArg<int> inFlight("", "in-flight", "Limit of requests and jobs in progress at once", false, kDefaultInFlight, "number", line);
    TCLAP::ValueArg<std::string> json("", "json", "Also write the report to this file, as JSON", false, "", "file", line);
    line.parse(argc, argv);
    if (seconds.getValue() < 1 || seconds.getValue() > kMaximumSeconds)
        throw TCLAP::ArgException("must be from 1 to 120", "seconds");
    LoadSettings settings;
    settings.entries = entries.getValue();
    settings.duration = std::chrono::seconds(seconds.getValue());
    settings.seed = seed.getValue();
    settings.maximumInFlight = inFlight.getValue();
    return { settings, mix.getValue(), json.getValue() };
}

static std::string readFile(const std::string& name)
{
    std::ifstream file(name, std::ios::binary);
    if (!file)
        throw std::runtime_error(name + ": can't be read");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

static int runMain(Arguments arguments)
{
    Result<std::vector<Stream>> streams = parseMix(readFile(arguments.mixFile), arguments.mixFile);
    if (streams.has_error()) {
        std::cerr << streams.error().message << '\n';
        return 1;
    }
    arguments.settings.streams = streams.value();
    LoadResult result = runLoad(arguments.settings);
    std::cout << formatText(arguments.settings, result);
    if (!arguments.jsonFile.empty() && !(std::ofstream(arguments.jsonFile) << formatJson(arguments.settings, result) << std::flush)) {
        std::cerr << arguments.jsonFile << ": can't be written\n";
        return 1;
    }
    return isCorrect(result) ? 0 : 1;
}

} // namespace crocuslever::load

int main(int argc, char** argv)
{
    try {
        return crocuslever::load::runMain(crocuslever::load::parseArguments(argc, argv));
    } catch (const TCLAP::ArgException& error) {
        std::cerr << "crocusload: " << error.argId() << ' ' << error.error() << '\n';
    } catch (const std::exception& error) {
        std::cerr << "crocusload: " << error.what() << '\n';
    }
    return 1;
}
