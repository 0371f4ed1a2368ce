#compdef teaselworks

autoload -U is-at-least

_teaselworks() {
    typeset -A opt_args
    typeset -a _arguments_options
    local ret=1

    if is-at-least 5.2; then
        _arguments_options=(-s -S -C)
    else
        _arguments_options=(-s -C)
    fi

    local context curcontext="$curcontext" state line
    _arguments "${_arguments_options[@]}" : \
'-h[Print help]' \
'--help[Print help]' \
'-V[Print version]' \
'--version[Print version]' \
":: :_teaselworks_commands" \
"*::: :->teaselworks" \
&& ret=0
    case $state in
    (teaselworks)
        words=($line[1] "${words[@]}")
        (( CURRENT += 1 ))
        curcontext="${curcontext%:*:*}:teaselworks-command-$line[1]:"
        case $line[1] in
            (router)
_arguments "${_arguments_options[@]}" : \
'--settings=[Settings of the router]:FILE:_default' \
'-h[Print help]' \
'--help[Print help]' \
&& ret=0
;;
(check)
_arguments "${_arguments_options[@]}" : \
'--settings=[Settings of a router]:FILE:_default' \
'--configuration=[Configuration of the fleet]:FILE:_default' \
'--patch=[Patch, applied to the configuration given, or to an empty one; shows the difference]:FILE:_default' \
'--json[Print JSON for scripts]' \
'-h[Print help]' \
'--help[Print help]' \
&& ret=0
;;
(config)
_arguments "${_arguments_options[@]}" : \
'-h[Print help]' \
'--help[Print help]' \
":: :_teaselworks__subcmd__config_commands" \
"*::: :->config" \
&& ret=0

    case $state in
    (config)
        words=($line[1] "${words[@]}")
        (( CURRENT += 1 ))
        curcontext="${curcontext%:*:*}:teaselworks-config-command-$line[1]:"
        case $line[1] in
            (get)
_arguments "${_arguments_options[@]}" : \
'--operator=[URL of a router'\''s operators'\'' port \[env\: TEASELWORKS_OPERATOR\] \[default\: http\://127.0.0.1\:8082\]]:URL:_default' \
'--timeout-ms=[Longest wait for an answer, in milliseconds]:MS:_default' \
'--json[Print JSON for scripts]' \
'-h[Print help]' \
'--help[Print help]' \
&& ret=0
;;
(patch)
_arguments "${_arguments_options[@]}" : \
'--expect=[Version that the patch was made for; refused if another one is in force]:N:_default' \
'--id=[Identifier of the patch, to resubmit it after an unknown outcome]:ID:_default' \
'--author=[Who submits it \[env\: USER\]]:NAME:_default' \
'--reason=[Why, for the history]:TEXT:_default' \
'--operator=[URL of a router'\''s operators'\'' port \[env\: TEASELWORKS_OPERATOR\] \[default\: http\://127.0.0.1\:8082\]]:URL:_default' \
'--timeout-ms=[Longest wait for an answer, in milliseconds]:MS:_default' \
'--dry-run[Show the difference and submit nothing]' \
'--json[Print JSON for scripts]' \
'-h[Print help]' \
'--help[Print help]' \
':patch -- JSON merge patch (RFC 7396), comments allowed; `-` reads standard input:_default' \
&& ret=0
;;
(republish)
_arguments "${_arguments_options[@]}" : \
'--expect=[Version in force at that router; refused if another one is in force there]:N:_default' \
'--id=[Identifier of the patch, to resubmit it after an unknown outcome]:ID:_default' \
'--author=[Who submits it \[env\: USER\]]:NAME:_default' \
'--reason=[Why, for the history]:TEXT:_default' \
'--operator=[URL of a router'\''s operators'\'' port \[env\: TEASELWORKS_OPERATOR\] \[default\: http\://127.0.0.1\:8082\]]:URL:_default' \
'--timeout-ms=[Longest wait for an answer, in milliseconds]:MS:_default' \
'--yes[Publish without asking; else the answer \`yes\` is read from standard input]' \
'--json[Print JSON for scripts]' \
'-h[Print help]' \
'--help[Print help]' \
&& ret=0
;;
(history)
_arguments "${_arguments_options[@]}" : \
'--limit=[Number of patches, latest first]:N:_default' \
'--operator=[URL of a router'\''s operators'\'' port \[env\: TEASELWORKS_OPERATOR\] \[default\: http\://127.0.0.1\:8082\]]:URL:_default' \
'--timeout-ms=[Longest wait for an answer, in milliseconds]:MS:_default' \
'--json[Print JSON for scripts]' \
'-h[Print help]' \
'--help[Print help]' \
&& ret=0
;;
(status)
_arguments "${_arguments_options[@]}" : \
'--operator=[URL of a router'\''s operators'\'' port \[env\: TEASELWORKS_OPERATOR\] \[default\: http\://127.0.0.1\:8082\]]:URL:_default' \
'--timeout-ms=[Longest wait for an answer, in milliseconds]:MS:_default' \
'--json[Print JSON for scripts]' \
'-h[Print help]' \
'--help[Print help]' \
&& ret=0
;;
(help)
_arguments "${_arguments_options[@]}" : \
":: :_teaselworks__subcmd__config__subcmd__help_commands" \
"*::: :->help" \
&& ret=0

    case $state in
    (help)
        words=($line[1] "${words[@]}")
        (( CURRENT += 1 ))
        curcontext="${curcontext%:*:*}:teaselworks-config-help-command-$line[1]:"
        case $line[1] in
            (get)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(patch)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(republish)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(history)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(status)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(help)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
        esac
    ;;
esac
;;
        esac
    ;;
esac
;;
(upstreams)
_arguments "${_arguments_options[@]}" : \
'--operator=[URL of a router'\''s operators'\'' port \[env\: TEASELWORKS_OPERATOR\] \[default\: http\://127.0.0.1\:8082\]]:URL:_default' \
'--timeout-ms=[Longest wait for an answer, in milliseconds]:MS:_default' \
'--json[Print JSON for scripts]' \
'-h[Print help]' \
'--help[Print help]' \
&& ret=0
;;
(workspaces)
_arguments "${_arguments_options[@]}" : \
'--operator=[URL of a router'\''s operators'\'' port \[env\: TEASELWORKS_OPERATOR\] \[default\: http\://127.0.0.1\:8082\]]:URL:_default' \
'--timeout-ms=[Longest wait for an answer, in milliseconds]:MS:_default' \
'--json[Print JSON for scripts]' \
'-h[Print help]' \
'--help[Print help]' \
":: :_teaselworks__subcmd__workspaces_commands" \
"*::: :->workspaces" \
&& ret=0

    case $state in
    (workspaces)
        words=($line[1] "${words[@]}")
        (( CURRENT += 1 ))
        curcontext="${curcontext%:*:*}:teaselworks-workspaces-command-$line[1]:"
        case $line[1] in
            (use)
_arguments "${_arguments_options[@]}" : \
'--operator=[URL of a router'\''s operators'\'' port \[env\: TEASELWORKS_OPERATOR\] \[default\: http\://127.0.0.1\:8082\]]:URL:_default' \
'--timeout-ms=[Longest wait for an answer, in milliseconds]:MS:_default' \
'--json[Print JSON for scripts]' \
'-h[Print help]' \
'--help[Print help]' \
&& ret=0
;;
(help)
_arguments "${_arguments_options[@]}" : \
":: :_teaselworks__subcmd__workspaces__subcmd__help_commands" \
"*::: :->help" \
&& ret=0

    case $state in
    (help)
        words=($line[1] "${words[@]}")
        (( CURRENT += 1 ))
        curcontext="${curcontext%:*:*}:teaselworks-workspaces-help-command-$line[1]:"
        case $line[1] in
            (use)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(help)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
        esac
    ;;
esac
;;
        esac
    ;;
esac
;;
(events)
_arguments "${_arguments_options[@]}" : \
'--json[Print JSON for scripts]' \
'-h[Print help]' \
'--help[Print help]' \
&& ret=0
;;
(completions)
_arguments "${_arguments_options[@]}" : \
'-h[Print help]' \
'--help[Print help]' \
':shell -- Shell to complete for:(bash elvish fish powershell zsh)' \
&& ret=0
;;
(man)
_arguments "${_arguments_options[@]}" : \
'-h[Print help]' \
'--help[Print help]' \
'::page -- Command with its group, as `config-patch`:_default' \
&& ret=0
;;
(help)
_arguments "${_arguments_options[@]}" : \
":: :_teaselworks__subcmd__help_commands" \
"*::: :->help" \
&& ret=0

    case $state in
    (help)
        words=($line[1] "${words[@]}")
        (( CURRENT += 1 ))
        curcontext="${curcontext%:*:*}:teaselworks-help-command-$line[1]:"
        case $line[1] in
            (router)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(check)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(config)
_arguments "${_arguments_options[@]}" : \
":: :_teaselworks__subcmd__help__subcmd__config_commands" \
"*::: :->config" \
&& ret=0

    case $state in
    (config)
        words=($line[1] "${words[@]}")
        (( CURRENT += 1 ))
        curcontext="${curcontext%:*:*}:teaselworks-help-config-command-$line[1]:"
        case $line[1] in
            (get)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(patch)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(republish)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(history)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(status)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
        esac
    ;;
esac
;;
(upstreams)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(workspaces)
_arguments "${_arguments_options[@]}" : \
":: :_teaselworks__subcmd__help__subcmd__workspaces_commands" \
"*::: :->workspaces" \
&& ret=0

    case $state in
    (workspaces)
        words=($line[1] "${words[@]}")
        (( CURRENT += 1 ))
        curcontext="${curcontext%:*:*}:teaselworks-help-workspaces-command-$line[1]:"
        case $line[1] in
            (use)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
        esac
    ;;
esac
;;
(events)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(completions)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(man)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
(help)
_arguments "${_arguments_options[@]}" : \
&& ret=0
;;
        esac
    ;;
esac
;;
        esac
    ;;
esac
}

(( $+functions[_teaselworks_commands] )) ||
_teaselworks_commands() {
    local commands; commands=(
'router:Run a router until SIGTERM or SIGINT begins a planned stop' \
'check:Check settings, a configuration and a patch offline' \
'config:Show and patch the numbered configuration of the fleet' \
'upstreams:List replicas of engines and services with owner, load and role' \
'workspaces:List workspaces with use and budget of the period' \
'events:Print the catalogue of log events' \
'completions:Print completions for a shell' \
'man:Print a manual page' \
'help:Print this message or the help of the given subcommand(s)' \
    )
    _describe -t commands 'teaselworks commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__check_commands] )) ||
_teaselworks__subcmd__check_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks check commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__completions_commands] )) ||
_teaselworks__subcmd__completions_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks completions commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__config_commands] )) ||
_teaselworks__subcmd__config_commands() {
    local commands; commands=(
'get:Print the configuration in force' \
'patch:Submit a patch of the configuration' \
'republish:Publish the fleet'\''s configuration to a platform that came back behind it' \
'history:List accepted patches\: who, when, why' \
'status:Show the version in force at each router' \
'help:Print this message or the help of the given subcommand(s)' \
    )
    _describe -t commands 'teaselworks config commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__config__subcmd__get_commands] )) ||
_teaselworks__subcmd__config__subcmd__get_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks config get commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__config__subcmd__help_commands] )) ||
_teaselworks__subcmd__config__subcmd__help_commands() {
    local commands; commands=(
'get:Print the configuration in force' \
'patch:Submit a patch of the configuration' \
'republish:Publish the fleet'\''s configuration to a platform that came back behind it' \
'history:List accepted patches\: who, when, why' \
'status:Show the version in force at each router' \
'help:Print this message or the help of the given subcommand(s)' \
    )
    _describe -t commands 'teaselworks config help commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__config__subcmd__help__subcmd__get_commands] )) ||
_teaselworks__subcmd__config__subcmd__help__subcmd__get_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks config help get commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__config__subcmd__help__subcmd__help_commands] )) ||
_teaselworks__subcmd__config__subcmd__help__subcmd__help_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks config help help commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__config__subcmd__help__subcmd__history_commands] )) ||
_teaselworks__subcmd__config__subcmd__help__subcmd__history_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks config help history commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__config__subcmd__help__subcmd__patch_commands] )) ||
_teaselworks__subcmd__config__subcmd__help__subcmd__patch_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks config help patch commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__config__subcmd__help__subcmd__republish_commands] )) ||
_teaselworks__subcmd__config__subcmd__help__subcmd__republish_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks config help republish commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__config__subcmd__help__subcmd__status_commands] )) ||
_teaselworks__subcmd__config__subcmd__help__subcmd__status_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks config help status commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__config__subcmd__history_commands] )) ||
_teaselworks__subcmd__config__subcmd__history_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks config history commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__config__subcmd__patch_commands] )) ||
_teaselworks__subcmd__config__subcmd__patch_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks config patch commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__config__subcmd__republish_commands] )) ||
_teaselworks__subcmd__config__subcmd__republish_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks config republish commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__config__subcmd__status_commands] )) ||
_teaselworks__subcmd__config__subcmd__status_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks config status commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__events_commands] )) ||
_teaselworks__subcmd__events_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks events commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__help_commands] )) ||
_teaselworks__subcmd__help_commands() {
    local commands; commands=(
'router:Run a router until SIGTERM or SIGINT begins a planned stop' \
'check:Check settings, a configuration and a patch offline' \
'config:Show and patch the numbered configuration of the fleet' \
'upstreams:List replicas of engines and services with owner, load and role' \
'workspaces:List workspaces with use and budget of the period' \
'events:Print the catalogue of log events' \
'completions:Print completions for a shell' \
'man:Print a manual page' \
'help:Print this message or the help of the given subcommand(s)' \
    )
    _describe -t commands 'teaselworks help commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__help__subcmd__check_commands] )) ||
_teaselworks__subcmd__help__subcmd__check_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks help check commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__help__subcmd__completions_commands] )) ||
_teaselworks__subcmd__help__subcmd__completions_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks help completions commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__help__subcmd__config_commands] )) ||
_teaselworks__subcmd__help__subcmd__config_commands() {
    local commands; commands=(
'get:Print the configuration in force' \
'patch:Submit a patch of the configuration' \
'republish:Publish the fleet'\''s configuration to a platform that came back behind it' \
'history:List accepted patches\: who, when, why' \
'status:Show the version in force at each router' \
    )
    _describe -t commands 'teaselworks help config commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__help__subcmd__config__subcmd__get_commands] )) ||
_teaselworks__subcmd__help__subcmd__config__subcmd__get_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks help config get commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__help__subcmd__config__subcmd__history_commands] )) ||
_teaselworks__subcmd__help__subcmd__config__subcmd__history_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks help config history commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__help__subcmd__config__subcmd__patch_commands] )) ||
_teaselworks__subcmd__help__subcmd__config__subcmd__patch_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks help config patch commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__help__subcmd__config__subcmd__republish_commands] )) ||
_teaselworks__subcmd__help__subcmd__config__subcmd__republish_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks help config republish commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__help__subcmd__config__subcmd__status_commands] )) ||
_teaselworks__subcmd__help__subcmd__config__subcmd__status_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks help config status commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__help__subcmd__events_commands] )) ||
_teaselworks__subcmd__help__subcmd__events_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks help events commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__help__subcmd__help_commands] )) ||
_teaselworks__subcmd__help__subcmd__help_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks help help commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__help__subcmd__man_commands] )) ||
_teaselworks__subcmd__help__subcmd__man_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks help man commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__help__subcmd__router_commands] )) ||
_teaselworks__subcmd__help__subcmd__router_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks help router commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__help__subcmd__upstreams_commands] )) ||
_teaselworks__subcmd__help__subcmd__upstreams_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks help upstreams commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__help__subcmd__workspaces_commands] )) ||
_teaselworks__subcmd__help__subcmd__workspaces_commands() {
    local commands; commands=(
'use:Report use by workspace, model and adapter' \
    )
    _describe -t commands 'teaselworks help workspaces commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__help__subcmd__workspaces__subcmd__use_commands] )) ||
_teaselworks__subcmd__help__subcmd__workspaces__subcmd__use_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks help workspaces use commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__man_commands] )) ||
_teaselworks__subcmd__man_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks man commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__router_commands] )) ||
_teaselworks__subcmd__router_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks router commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__upstreams_commands] )) ||
_teaselworks__subcmd__upstreams_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks upstreams commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__workspaces_commands] )) ||
_teaselworks__subcmd__workspaces_commands() {
    local commands; commands=(
'use:Report use by workspace, model and adapter' \
'help:Print this message or the help of the given subcommand(s)' \
    )
    _describe -t commands 'teaselworks workspaces commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__workspaces__subcmd__help_commands] )) ||
_teaselworks__subcmd__workspaces__subcmd__help_commands() {
    local commands; commands=(
'use:Report use by workspace, model and adapter' \
'help:Print this message or the help of the given subcommand(s)' \
    )
    _describe -t commands 'teaselworks workspaces help commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__workspaces__subcmd__help__subcmd__help_commands] )) ||
_teaselworks__subcmd__workspaces__subcmd__help__subcmd__help_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks workspaces help help commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__workspaces__subcmd__help__subcmd__use_commands] )) ||
_teaselworks__subcmd__workspaces__subcmd__help__subcmd__use_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks workspaces help use commands' commands "$@"
}
(( $+functions[_teaselworks__subcmd__workspaces__subcmd__use_commands] )) ||
_teaselworks__subcmd__workspaces__subcmd__use_commands() {
    local commands; commands=()
    _describe -t commands 'teaselworks workspaces use commands' commands "$@"
}

if [ "$funcstack[1]" = "_teaselworks" ]; then
    _teaselworks "$@"
else
    compdef _teaselworks teaselworks
fi
