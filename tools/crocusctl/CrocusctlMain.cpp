#include <csignal>
#include <iostream>

#include "src/control/Arguments.h"
#include "src/control/Commands.h"

int main(int argc, char** argv)
{
    try {
        std::signal(SIGPIPE, SIG_IGN);
        std::vector<std::string> words(argv + 1, argv + argc);
        crocuslever::ParsedArguments parsed = crocuslever::parseArguments(words, CROCUSLEVER_VERSION);
        if (!parsed.arguments)
            return parsed.exitCode;
        boost::asio::io_context io;
        return crocuslever::runCommand(io, *parsed.arguments, { std::cout, std::cerr });
    } catch (const std::exception& e) {
        // A change may have been in progress, so the outcome is unknown.
        std::cerr << "crocusctl: " << e.what() << '\n';
        return crocuslever::ExitUnknown;
    }
}
