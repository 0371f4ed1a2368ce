# Print an optspec for argparse to handle cmd's options that are independent of any subcommand.
function __fish_teaselworks_global_optspecs
    string join \n h/help V/version
end

function __fish_teaselworks_needs_command
    # Figure out if the current invocation already has a command.
    set -l cmd (commandline -opc)
    set -e cmd[1]
    argparse -s (__fish_teaselworks_global_optspecs) -- $cmd 2>/dev/null
    or return
    if set -q argv[1]
        # Also print the command, so this can be used to figure out what it is.
        echo $argv[1]
        return 1
    end
    return 0
end

function __fish_teaselworks_using_subcommand
    set -l cmd (__fish_teaselworks_needs_command)
    test -z "$cmd"
    and return 1
    contains -- $cmd[1] $argv
end

complete -c teaselworks -n "__fish_teaselworks_needs_command" -s h -l help -d 'Print help'
complete -c teaselworks -n "__fish_teaselworks_needs_command" -s V -l version -d 'Print version'
complete -c teaselworks -n "__fish_teaselworks_needs_command" -f -a "router" -d 'Run a router until SIGTERM or SIGINT begins a planned stop'
complete -c teaselworks -n "__fish_teaselworks_needs_command" -f -a "check" -d 'Check settings, a configuration and a patch offline'
complete -c teaselworks -n "__fish_teaselworks_needs_command" -f -a "config" -d 'Show and patch the numbered configuration of the fleet'
complete -c teaselworks -n "__fish_teaselworks_needs_command" -f -a "upstreams" -d 'List replicas of engines and services with owner, load and role'
complete -c teaselworks -n "__fish_teaselworks_needs_command" -f -a "workspaces" -d 'List workspaces with use and budget of the period'
complete -c teaselworks -n "__fish_teaselworks_needs_command" -f -a "events" -d 'Print the catalogue of log events'
complete -c teaselworks -n "__fish_teaselworks_needs_command" -f -a "completions" -d 'Print completions for a shell'
complete -c teaselworks -n "__fish_teaselworks_needs_command" -f -a "man" -d 'Print a manual page'
complete -c teaselworks -n "__fish_teaselworks_needs_command" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand router" -l settings -d 'Settings of the router' -r
complete -c teaselworks -n "__fish_teaselworks_using_subcommand router" -s h -l help -d 'Print help'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand check" -l settings -d 'Settings of a router' -r
complete -c teaselworks -n "__fish_teaselworks_using_subcommand check" -l configuration -d 'Configuration of the fleet' -r
complete -c teaselworks -n "__fish_teaselworks_using_subcommand check" -l patch -d 'Patch, applied to the configuration given, or to an empty one; shows the difference' -r
complete -c teaselworks -n "__fish_teaselworks_using_subcommand check" -l json -d 'Print JSON for scripts'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand check" -s h -l help -d 'Print help'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and not __fish_seen_subcommand_from get patch republish history status help" -s h -l help -d 'Print help'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and not __fish_seen_subcommand_from get patch republish history status help" -f -a "get" -d 'Print the configuration in force'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and not __fish_seen_subcommand_from get patch republish history status help" -f -a "patch" -d 'Submit a patch of the configuration'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and not __fish_seen_subcommand_from get patch republish history status help" -f -a "republish" -d 'Publish the fleet\'s configuration to a platform that came back behind it'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and not __fish_seen_subcommand_from get patch republish history status help" -f -a "history" -d 'List accepted patches: who, when, why'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and not __fish_seen_subcommand_from get patch republish history status help" -f -a "status" -d 'Show the version in force at each router'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and not __fish_seen_subcommand_from get patch republish history status help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from get" -l operator -d 'URL of a router\'s operators\' port [env: TEASELWORKS_OPERATOR] [default: http://127.0.0.1:8082]' -r
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from get" -l timeout-ms -d 'Longest wait for an answer, in milliseconds' -r
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from get" -l json -d 'Print JSON for scripts'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from get" -s h -l help -d 'Print help'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from patch" -l expect -d 'Version that the patch was made for; refused if another one is in force' -r
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from patch" -l id -d 'Identifier of the patch, to resubmit it after an unknown outcome' -r
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from patch" -l author -d 'Who submits it [env: USER]' -r
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from patch" -l reason -d 'Why, for the history' -r
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from patch" -l operator -d 'URL of a router\'s operators\' port [env: TEASELWORKS_OPERATOR] [default: http://127.0.0.1:8082]' -r
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from patch" -l timeout-ms -d 'Longest wait for an answer, in milliseconds' -r
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from patch" -l dry-run -d 'Show the difference and submit nothing'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from patch" -l json -d 'Print JSON for scripts'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from patch" -s h -l help -d 'Print help'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from republish" -l expect -d 'Version in force at that router; refused if another one is in force there' -r
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from republish" -l id -d 'Identifier of the patch, to resubmit it after an unknown outcome' -r
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from republish" -l author -d 'Who submits it [env: USER]' -r
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from republish" -l reason -d 'Why, for the history' -r
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from republish" -l operator -d 'URL of a router\'s operators\' port [env: TEASELWORKS_OPERATOR] [default: http://127.0.0.1:8082]' -r
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from republish" -l timeout-ms -d 'Longest wait for an answer, in milliseconds' -r
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from republish" -l yes -d 'Publish without asking; else the answer `yes` is read from standard input'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from republish" -l json -d 'Print JSON for scripts'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from republish" -s h -l help -d 'Print help'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from history" -l limit -d 'Number of patches, latest first' -r
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from history" -l operator -d 'URL of a router\'s operators\' port [env: TEASELWORKS_OPERATOR] [default: http://127.0.0.1:8082]' -r
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from history" -l timeout-ms -d 'Longest wait for an answer, in milliseconds' -r
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from history" -l json -d 'Print JSON for scripts'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from history" -s h -l help -d 'Print help'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from status" -l operator -d 'URL of a router\'s operators\' port [env: TEASELWORKS_OPERATOR] [default: http://127.0.0.1:8082]' -r
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from status" -l timeout-ms -d 'Longest wait for an answer, in milliseconds' -r
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from status" -l json -d 'Print JSON for scripts'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from status" -s h -l help -d 'Print help'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from help" -f -a "get" -d 'Print the configuration in force'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from help" -f -a "patch" -d 'Submit a patch of the configuration'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from help" -f -a "republish" -d 'Publish the fleet\'s configuration to a platform that came back behind it'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from help" -f -a "history" -d 'List accepted patches: who, when, why'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from help" -f -a "status" -d 'Show the version in force at each router'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand config; and __fish_seen_subcommand_from help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand upstreams" -l operator -d 'URL of a router\'s operators\' port [env: TEASELWORKS_OPERATOR] [default: http://127.0.0.1:8082]' -r
complete -c teaselworks -n "__fish_teaselworks_using_subcommand upstreams" -l timeout-ms -d 'Longest wait for an answer, in milliseconds' -r
complete -c teaselworks -n "__fish_teaselworks_using_subcommand upstreams" -l json -d 'Print JSON for scripts'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand upstreams" -s h -l help -d 'Print help'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand workspaces; and not __fish_seen_subcommand_from use help" -l operator -d 'URL of a router\'s operators\' port [env: TEASELWORKS_OPERATOR] [default: http://127.0.0.1:8082]' -r
complete -c teaselworks -n "__fish_teaselworks_using_subcommand workspaces; and not __fish_seen_subcommand_from use help" -l timeout-ms -d 'Longest wait for an answer, in milliseconds' -r
complete -c teaselworks -n "__fish_teaselworks_using_subcommand workspaces; and not __fish_seen_subcommand_from use help" -l json -d 'Print JSON for scripts'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand workspaces; and not __fish_seen_subcommand_from use help" -s h -l help -d 'Print help'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand workspaces; and not __fish_seen_subcommand_from use help" -f -a "use" -d 'Report use by workspace, model and adapter'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand workspaces; and not __fish_seen_subcommand_from use help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand workspaces; and __fish_seen_subcommand_from use" -l operator -d 'URL of a router\'s operators\' port [env: TEASELWORKS_OPERATOR] [default: http://127.0.0.1:8082]' -r
complete -c teaselworks -n "__fish_teaselworks_using_subcommand workspaces; and __fish_seen_subcommand_from use" -l timeout-ms -d 'Longest wait for an answer, in milliseconds' -r
complete -c teaselworks -n "__fish_teaselworks_using_subcommand workspaces; and __fish_seen_subcommand_from use" -l json -d 'Print JSON for scripts'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand workspaces; and __fish_seen_subcommand_from use" -s h -l help -d 'Print help'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand workspaces; and __fish_seen_subcommand_from help" -f -a "use" -d 'Report use by workspace, model and adapter'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand workspaces; and __fish_seen_subcommand_from help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand events" -l json -d 'Print JSON for scripts'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand events" -s h -l help -d 'Print help'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand completions" -s h -l help -d 'Print help'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand man" -s h -l help -d 'Print help'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand help; and not __fish_seen_subcommand_from router check config upstreams workspaces events completions man help" -f -a "router" -d 'Run a router until SIGTERM or SIGINT begins a planned stop'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand help; and not __fish_seen_subcommand_from router check config upstreams workspaces events completions man help" -f -a "check" -d 'Check settings, a configuration and a patch offline'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand help; and not __fish_seen_subcommand_from router check config upstreams workspaces events completions man help" -f -a "config" -d 'Show and patch the numbered configuration of the fleet'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand help; and not __fish_seen_subcommand_from router check config upstreams workspaces events completions man help" -f -a "upstreams" -d 'List replicas of engines and services with owner, load and role'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand help; and not __fish_seen_subcommand_from router check config upstreams workspaces events completions man help" -f -a "workspaces" -d 'List workspaces with use and budget of the period'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand help; and not __fish_seen_subcommand_from router check config upstreams workspaces events completions man help" -f -a "events" -d 'Print the catalogue of log events'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand help; and not __fish_seen_subcommand_from router check config upstreams workspaces events completions man help" -f -a "completions" -d 'Print completions for a shell'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand help; and not __fish_seen_subcommand_from router check config upstreams workspaces events completions man help" -f -a "man" -d 'Print a manual page'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand help; and not __fish_seen_subcommand_from router check config upstreams workspaces events completions man help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand help; and __fish_seen_subcommand_from config" -f -a "get" -d 'Print the configuration in force'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand help; and __fish_seen_subcommand_from config" -f -a "patch" -d 'Submit a patch of the configuration'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand help; and __fish_seen_subcommand_from config" -f -a "republish" -d 'Publish the fleet\'s configuration to a platform that came back behind it'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand help; and __fish_seen_subcommand_from config" -f -a "history" -d 'List accepted patches: who, when, why'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand help; and __fish_seen_subcommand_from config" -f -a "status" -d 'Show the version in force at each router'
complete -c teaselworks -n "__fish_teaselworks_using_subcommand help; and __fish_seen_subcommand_from workspaces" -f -a "use" -d 'Report use by workspace, model and adapter'
