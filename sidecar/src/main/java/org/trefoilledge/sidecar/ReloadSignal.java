package org.trefoilledge.sidecar;

import java.lang.reflect.Proxy;
import org.slf4j.LoggerFactory;

/**
 * Runs an action when the process receives SIGHUP, which would otherwise terminate it. {@code sun.misc.Signal} is called
 * by reflection, because direct use always causes a compiler warning.
 */
public final class ReloadSignal {
    private ReloadSignal() {}

    /** Installs a SIGHUP handler that runs the action. Logs a warning if the runtime does not support it. */
    public static void install(Runnable action) {
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            Object handler = Proxy.newProxyInstance(
                    ReloadSignal.class.getClassLoader(), new Class<?>[] {handlerClass}, (self, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            action.run();
                            return null;
                        }
                        return method.getName().equals("hashCode") ? 0 : null;
                    });
            Object sighup = signalClass.getConstructor(String.class).newInstance("HUP");
            signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, sighup, handler);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            LoggerFactory.getLogger(ReloadSignal.class)
                    .warn("sidecar: cannot handle SIGHUP, it will terminate the process: {}", e.toString());
        }
    }
}
