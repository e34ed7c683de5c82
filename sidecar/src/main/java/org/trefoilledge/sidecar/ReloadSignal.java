package org.trefoilledge.sidecar;

import java.lang.reflect.Proxy;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs an action when the process gets SIGHUP, which would end it otherwise. The runtime's class for signals is reached
 * by reflection, because its use cannot be compiled without a warning.
 */
public final class ReloadSignal {
    private static final Logger LOG = LoggerFactory.getLogger(ReloadSignal.class);

    private ReloadSignal() {}

    /** Installs the action; logs if the runtime does not allow it. */
    public static void install(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(
                    ReloadSignal.class.getClassLoader(), new Class<?>[] {handler}, (self, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            action.run();
                            return null;
                        }
                        return method.getName().equals("hashCode") ? 0 : null;
                    });
            Object hangUp = signal.getConstructor(String.class).newInstance("HUP");
            signal.getMethod("handle", signal, handler).invoke(null, hangUp, proxy);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            LOG.warn("sidecar: SIGHUP will end the process: {}", e.toString());
        }
    }
}
