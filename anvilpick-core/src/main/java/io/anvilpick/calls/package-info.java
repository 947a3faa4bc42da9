/**
 * The way of a call through a daemon, apart from any front end: claim, dispatch, send, settle.
 */
@NullMarked
package io.anvilpick.calls;

import org.jspecify.annotations.NullMarked;
